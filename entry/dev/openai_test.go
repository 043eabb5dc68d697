package dev

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"acaciacleat.example/core/result"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"
)

// openAIClient returns a client of the published OpenAI library that differs from the default only in
// its base URL and key.
func openAIClient(d *Deployment, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+d.Entries[0].Addr()+"/v1/"), option.WithAPIKey(key))
}

func chatParams(model, prompt string, maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               model,
		MaxCompletionTokens: openai.Int(maxTokens),
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("Answer briefly. "), openai.UserMessage(prompt)},
		StreamOptions:       openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

const openAIPrompt = "Does span 14 need pruning before the audit?"

func TestOpenAIClientChatCompletions(t *testing.T) {
	d := startDeployment(t, nil)
	client := openAIClient(d, Key)
	whole, err := client.Chat.Completions.New(t.Context(), chatParams(ModelName, openAIPrompt, 12))
	require.NoError(t, err)
	require.Len(t, whole.Choices, 1)
	require.Equal(t, "length", whole.Choices[0].FinishReason)
	require.EqualValues(t, 12, whole.Usage.CompletionTokens)
	require.Equal(t, whole.Usage.PromptTokens+12, whole.Usage.TotalTokens)
	require.NotEmpty(t, whole.ID)
	require.Equal(t, ModelName, whole.Model)

	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams(ModelName, openAIPrompt, 12))
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, accumulated.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, whole.Choices[0].Message.Content, accumulated.Choices[0].Message.Content)
	require.Equal(t, "length", accumulated.Choices[0].FinishReason)
	require.Equal(t, whole.Usage.TotalTokens, accumulated.Usage.TotalTokens)
}

func TestOpenAIClientCompletions(t *testing.T) {
	d := startDeployment(t, nil)
	client := openAIClient(d, Key)
	params := openai.CompletionNewParams{
		Model:     ModelName,
		MaxTokens: openai.Int(9),
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(openAIPrompt)},
	}
	whole, err := client.Completions.New(t.Context(), params)
	require.NoError(t, err)
	require.EqualValues(t, 9, whole.Usage.CompletionTokens)

	stream := client.Completions.NewStreaming(t.Context(), params)
	var text strings.Builder
	finish := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Text)
			finish = string(choice.FinishReason)
		}
	}
	require.NoError(t, stream.Err())
	require.Equal(t, whole.Choices[0].Text, text.String())
	require.Equal(t, "length", finish)
}

func TestOpenAIClientListsModels(t *testing.T) {
	d := startDeployment(t, nil)
	client := openAIClient(d, Key)
	page, err := client.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, page.Data, 1)
	require.Equal(t, ModelName, page.Data[0].ID)
	require.Equal(t, ModelService, page.Data[0].OwnedBy)
}

func TestOpenAIClientGetsTypedErrors(t *testing.T) {
	d := startDeployment(t, nil)
	chat := func(key, model, prompt string, maxTokens int64) error {
		client := openAIClient(d, key)
		_, err := client.Chat.Completions.New(context.Background(), chatParams(model, prompt, maxTokens))
		return err
	}
	stream := func(key, model, prompt string, maxTokens int64) error {
		client := openAIClient(d, key)
		s := client.Chat.Completions.NewStreaming(context.Background(), chatParams(model, prompt, maxTokens))
		require.False(t, s.Next())
		return s.Err()
	}
	cases := []struct {
		name, key, model, kind string
		maxTokens              int64
		code                   result.Code
	}{
		{"wrong key", "wrong", ModelName, "authentication_error", 1, result.BadKey},
		{"unknown model", Key, "assistant-9", "invalid_request_error", 1, result.UnknownModel},
		{"over-long", Key, ModelName, "invalid_request_error", 1_200_000, result.PromptTooLong},
	}
	for _, tc := range cases {
		for mode, call := range map[string]func(key, model, prompt string, maxTokens int64) error{"whole": chat, "streamed": stream} {
			t.Run(tc.name+" "+mode, func(t *testing.T) {
				var failure *openai.Error
				require.ErrorAs(t, call(tc.key, tc.model, openAIPrompt, tc.maxTokens), &failure)
				require.Equal(t, result.Lookup(tc.code).HTTPStatus, failure.StatusCode)
				require.Equal(t, result.Lookup(tc.code).Name, failure.Code)
				require.Equal(t, tc.kind, failure.Type)
				require.NotEmpty(t, failure.Message)
				require.Equal(t, "not-run", failure.Response.Header.Get("X-Execution"))
			})
		}
	}
	client := openAIClient(d, "wrong")
	_, err := client.Models.List(t.Context())
	var failure *openai.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, http.StatusUnauthorized, failure.StatusCode)
}
