package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

const (
	// pollInterval is the interval between attempts of the wait command.
	pollInterval = 50 * time.Millisecond
	// requestTimeout bounds one request.
	requestTimeout = 5 * time.Second
)

func addRequest(ctx context.Context, a *kingpin.Application) {
	c := a.Command("request", "Send one HTTP request and print the response body, so that scripts need no HTTP client.")
	method := c.Arg("method", "HTTP method.").Required().String()
	url := c.Arg("url", "URL.").Required().String()
	body := c.Arg("body", "Body.").String()
	c.Action(func(*kingpin.ParseContext) error {
		status, text, err := request(ctx, *method, *url, *body)
		if err != nil {
			return err
		}
		if _, err := os.Stdout.WriteString(text); err != nil {
			return errors.Wrap(err, "request")
		}
		if status >= http.StatusBadRequest {
			return errors.Errorf("request: status %d", status)
		}
		return nil
	})
}

func addWait(ctx context.Context, a *kingpin.Application) {
	c := a.Command("wait", "Wait until each URL responds with status 200 and, if given, a text.")
	tries := c.Flag("tries", "Maximum number of attempts per URL.").Default("400").Int()
	text := c.Flag("text", "Text that the response must contain.").String()
	urls := c.Arg("url", "URLs.").Required().Strings()
	c.Action(func(*kingpin.ParseContext) error {
		for _, u := range *urls {
			if err := wait(ctx, u, *text, *tries); err != nil {
				return err
			}
		}
		return nil
	})
}

func request(ctx context.Context, method, url, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", errors.Wrap(err, "request")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", errors.Wrap(err, "request")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), errors.Wrap(err, "request")
}

func wait(ctx context.Context, url, text string, tries int) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for range tries {
		status, answer, err := request(ctx, http.MethodGet, url, "")
		if err == nil && status == http.StatusOK && strings.Contains(answer, text) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return errors.Errorf("wait: %s did not return the expected response", url)
}
