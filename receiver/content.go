package receiver

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"agatevalve/common/task"
)

const jobMediaType = "application/vnd.agatevalve.job+json"

// readContent reads the body and sets the tasks and the digest.
func (c *Receiver) readContent(w http.ResponseWriter, r *http.Request, sub *submission) *problem {
	body, refusal := c.readBody(w, r, sub.callerDeadline)
	if refusal != nil {
		return refusal
	}
	sub.job = isJob(r)
	sub.Digest = digest(r, sub.job, body)
	first := task.Request{
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Host:   r.Host,
		Header: endToEnd(r.Header),
		Body:   body,
	}
	if !sub.job {
		sub.Tasks = []task.Request{first}
		return nil
	}
	if r.Method != http.MethodPost {
		return notRun(http.StatusMethodNotAllowed, "bad-job", "a job is sent with "+r.Method, "use POST")
	}
	tasks, refusal := decodeJob(body, first, c.o.Limits)
	sub.Tasks = tasks
	return refusal
}

// isJob reports whether the caller sent many tasks in one body.
func isJob(r *http.Request) bool {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && kind == jobMediaType
}

func (c *Receiver) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, *problem) {
	limit := c.o.Limits.BodyBytes
	tooLarge := notRun(http.StatusRequestEntityTooLarge, "body-too-large",
		fmt.Sprintf("the body has more than %d bytes", limit), "send less in one request, or split the job")
	if r.ContentLength > int64(limit) {
		return nil, tooLarge
	}
	control := http.NewResponseController(w)
	if latest := time.Now().Add(longestRead); deadline.After(latest) {
		deadline = latest
	}
	_ = control.SetReadDeadline(deadline) // Without support the server's own limits hold.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	_ = control.SetReadDeadline(time.Time{}) // As above.
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge
	}
	if err != nil {
		return nil, notRun(http.StatusBadRequest, "body-cut", "the body ended early: "+err.Error(), "send the whole body in time")
	}
	return body, nil
}

// digest covers what makes two submissions the same: method, path and body,
// and whether the body is a job.
func digest(r *http.Request, job bool, body []byte) task.Digest {
	kind := "request"
	if job {
		kind = "job"
	}
	h := sha256.New()
	for _, part := range [][]byte{[]byte(kind), []byte(r.Method), []byte(r.URL.RequestURI()), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	var sum task.Digest
	h.Sum(sum[:0])
	return sum
}
