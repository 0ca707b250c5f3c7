package emulator_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/emulator"
)

func minionRequest(ctx context.Context, task, service string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/holds?tower=3", strings.NewReader("bell"))
	r.Header.Set(emulator.TaskHeader, task)
	r.Header.Set(emulator.ServiceTimeHeader, service)
	return r
}

func TestMinionCountsStartsAndQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		minion := emulator.NewMinion(emulator.MinionOptions{Name: "m1", Slots: 1, Speed: 2})
		start := time.Now()
		done := make(chan *httptest.ResponseRecorder, 2)
		for range 2 {
			go func() {
				w := httptest.NewRecorder()
				minion.ServeHTTP(w, minionRequest(t.Context(), "job-0", "200ms"))
				done <- w
			}()
		}
		synctest.Wait()
		is.Equal(minion.Running(), 1)
		is.Equal(minion.Starts(), map[string]int{"job-0": 1}) // The second request waits.
		first, second := <-done, <-done
		is.Equal(time.Since(start), 200*time.Millisecond) // Two service times of 200 ms at speed 2.
		answer, err := emulator.DecodeMinionResponse(first.Body.Bytes())
		is.NoErr(err)
		is.Equal(answer, emulator.MinionResponse{
			Minion: "m1", Method: http.MethodPost, Path: "/holds?tower=3", Task: "job-0", Starts: 1, Body: "bell",
		})
		is.Equal(second.Code, http.StatusOK)
		is.Equal(minion.Starts(), map[string]int{"job-0": 2})
	})
}

func TestMinionFreesSlotWhenCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		minion := emulator.NewMinion(emulator.MinionOptions{Slots: 1})
		minion.SetFault(emulator.Hang)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		minion.ServeHTTP(httptest.NewRecorder(), minionRequest(ctx, "job-0", "1ms"))
		is.Equal(minion.Running(), 0)
		minion.SetFault(emulator.Healthy)
		w := httptest.NewRecorder()
		minion.ServeHTTP(w, minionRequest(t.Context(), "job-1", "1ms"))
		is.Equal(w.Code, http.StatusOK)
		is.Equal(minion.Starts(), map[string]int{"job-0": 1, "job-1": 1})
	})
}

func TestMinionFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	minion := emulator.NewMinion(emulator.MinionOptions{})
	server := httptest.NewServer(minion)
	defer server.Close()
	control := httptest.NewServer(minion.ControlHandler())
	defer control.Close()
	post := func(url, body string) *http.Response {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
		is.NoErr(err)
		r.Header.Set(emulator.TaskHeader, "job-0")
		r.Header.Set(emulator.ServiceTimeHeader, "1ms")
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		return response
	}

	response := post(control.URL+emulator.FaultsPath, `{"kind": "truncate"}`)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusNoContent)
	response = post(server.URL, "bell")
	_, err := io.ReadAll(response.Body)
	is.True(err != nil) // The body is cut off.
	is.NoErr(response.Body.Close())

	response = post(control.URL+emulator.FaultsPath, `{"kind": "fail-all"}`)
	is.NoErr(response.Body.Close())
	response = post(server.URL, "bell")
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusInternalServerError)

	response = post(control.URL+emulator.FaultsPath, `{"kind": "rust"}`)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.Equal(minion.Starts(), map[string]int{"job-0": 2})
}
