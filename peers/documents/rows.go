package documents

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

// The rows of the table. A service's name has no '/', so that organisations of two
// services never share a row.
const (
	tableName          = "documents"
	headName           = "head"
	servicePrefix      = "service/"
	organisationPrefix = "organisation/"
	changePrefix       = "change/"
)

// LogLength is the number of revisions that the change log keeps: each put deletes the
// row that falls out, so that nobody has to compact it. A node that was away for longer
// loads the whole state. At 1,024 a day of one change a minute and a half is covered.
const LogLength = 1024

// maxUpdateBytes bounds an update kept in the log. A larger one, such as 35,000
// organisations at once, makes its readers load the whole state, which costs them no
// more than it would.
const maxUpdateBytes = 256 << 10

// maxLoggedDifferences bounds the differences kept for the history.
const maxLoggedDifferences = 50

// headRow numbers the newest revision.
type headRow struct {
	Revision document.Revision `json:"revision"`
}

// serviceRow is a service's header with the revision that changed the service last.
type serviceRow struct {
	Revision document.Revision `json:"revision"`
	Header   *document.Service `json:"header"`
}

// Change is one row of the change log.
type Change struct {
	Revision document.Revision `json:"revision"`
	// Token is the client token of the put, by which its writer knows it again.
	Token   string    `json:"token"`
	Service string    `json:"service"`
	At      time.Time `json:"at"`
	// Update is the change; nil when it was too large to keep.
	Update *document.Update `json:"update,omitempty"`
	// Diff is for the history's readers, shortened.
	Diff []document.Change `json:"diff,omitempty"`
}

func rowKey(row string) table.Key { return table.Key{Table: tableName, Row: row} }

func serviceName(service string) string { return servicePrefix + service }

func organisationName(service, organisation string) string {
	return organisationPrefix + service + "/" + organisation
}

// changeName orders the log's rows by revision: 20 digits hold any uint64.
func changeName(revision document.Revision) string {
	return fmt.Sprintf("%s%020d", changePrefix, revision)
}

// serviceOfOrganisation returns the service to which an organisation's row belongs.
func serviceOfOrganisation(row string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(row, organisationPrefix), "/")
	return service
}

// encode can't fail: the rows' types have no value that JSON lacks, and Validate
// refuses limits that are not numbers.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func decode(row table.Row, value any) error {
	return errors.Wrapf(json.Unmarshal(row.Value, value), "documents: row %s", row.Key.Row)
}

func put(row string, value any) table.Write {
	return table.Write{Key: rowKey(row), Value: encode(value)}
}

func remove(row string) table.Write { return table.Write{Key: rowKey(row), Delete: true} }

// transaction writes the change from the state old, whose head row has the given version.
func transaction(change Change, service *document.Service, headVersion uint64) table.Tx {
	update := change.Update
	header, _ := document.Split(service)
	writes := []table.Write{
		put(headName, headRow{Revision: change.Revision}),
		put(serviceName(service.Name), serviceRow{Revision: change.Revision, Header: header}),
	}
	for i := range update.Put {
		writes = append(writes, put(organisationName(service.Name, update.Put[i].Name), update.Put[i]))
	}
	for _, name := range update.Drop {
		writes = append(writes, remove(organisationName(service.Name, name)))
	}
	if len(encode(update)) > maxUpdateBytes {
		change.Update = nil
	}
	writes = append(writes, put(changeName(change.Revision), change))
	if change.Revision > LogLength {
		writes = append(writes, remove(changeName(change.Revision-LogLength)))
	}
	return table.Tx{
		Token:      change.Token,
		Conditions: []table.Condition{{Key: rowKey(headName), Version: headVersion}},
		Writes:     writes,
	}
}
