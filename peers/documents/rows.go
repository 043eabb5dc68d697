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

// The table's name and the names of its rows. A service's name contains no '/', so that organisations
// of two services never share a row.
const (
	tableName          = "documents"
	headRowName        = "head"
	servicePrefix      = "service/"
	organisationPrefix = "organisation/"
	changePrefix       = "change/"
)

// LogLength is the number of revisions in the change log. Each put deletes the oldest row of a full
// log, so the log needs no separate compaction. A node that is further behind loads the whole state.
// 1,024 revisions cover a day at one change every minute and a half.
const LogLength = 1024

// maxUpdateBytes bounds the size of an update in the change log. After a larger update, such as
// 35,000 organisations at once, readers load the whole state, which costs no more than reading the
// update.
const maxUpdateBytes = 256 << 10

// maxLoggedDifferences bounds the number of differences that a row of the change log keeps for the
// history.
const maxLoggedDifferences = 50

// headRow is the row that holds the newest revision.
type headRow struct {
	Revision document.Revision `json:"revision"`
}

// serviceRow is a service's header and the last revision that changed the service.
type serviceRow struct {
	Revision document.Revision `json:"revision"`
	Header   *document.Service `json:"header"`
}

// Change is one row of the change log.
type Change struct {
	Revision document.Revision `json:"revision"`
	// Token is the client token of the put. After a lost response, the writer compares it with its own
	// to learn whether its put created the revision.
	Token   string    `json:"token"`
	Service string    `json:"service"`
	At      time.Time `json:"at"`
	// Update is the change; nil if it exceeded maxUpdateBytes.
	Update *document.Update `json:"update,omitempty"`
	// Diff lists the first differences, for the history.
	Diff []document.Change `json:"diff,omitempty"`
}

func rowKey(row string) table.Key { return table.Key{Table: tableName, Row: row} }

func serviceRowName(service string) string { return servicePrefix + service }

func organisationRowName(service, organisation string) string {
	return organisationPrefix + service + "/" + organisation
}

// changeRowName pads the revision to the 20 digits of the largest uint64, so that the log's rows are
// sorted by revision.
func changeRowName(revision document.Revision) string {
	return fmt.Sprintf("%s%020d", changePrefix, revision)
}

// serviceOfOrganisation returns the service to which an organisation's row belongs.
func serviceOfOrganisation(row string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(row, organisationPrefix), "/")
	return service
}

// encode encodes a row's value as JSON. It can't fail: JSON can represent all values of the rows'
// types, because Validate rejects limits that are NaN or infinite.
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

func putRow(row string, value any) table.Write {
	return table.Write{Key: rowKey(row), Value: encode(value)}
}

func deleteRow(row string) table.Write { return table.Write{Key: rowKey(row), Delete: true} }

// transaction returns the transaction that writes a change, on the condition that the head row has the
// given version.
func transaction(change Change, service *document.Service, headVersion uint64) table.Tx {
	update := change.Update
	header, _ := document.Split(service)
	writes := []table.Write{
		putRow(headRowName, headRow{Revision: change.Revision}),
		putRow(serviceRowName(service.Name), serviceRow{Revision: change.Revision, Header: header}),
	}
	for i := range update.Put {
		writes = append(writes, putRow(organisationRowName(service.Name, update.Put[i].Name), update.Put[i]))
	}
	for _, name := range update.Drop {
		writes = append(writes, deleteRow(organisationRowName(service.Name, name)))
	}
	if len(encode(update)) > maxUpdateBytes {
		change.Update = nil
	}
	writes = append(writes, putRow(changeRowName(change.Revision), change))
	if change.Revision > LogLength {
		writes = append(writes, deleteRow(changeRowName(change.Revision-LogLength)))
	}
	return table.Tx{
		Token:      change.Token,
		Conditions: []table.Condition{{Key: rowKey(headRowName), Version: headVersion}},
		Writes:     writes,
	}
}
