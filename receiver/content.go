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

// jobMediaType is the content type of a job.
const jobMediaType = "application/vnd.agatevalve.job+json"

// readContent reads the body and sets the tasks and the digest of a submission.
func (c *Receiver) readContent(w http.ResponseWriter, r *http.Request, sub *submission) *problem {
	body, refusal := c.readBody(w, r, sub.callerDeadline)
	if refusal != nil {
		return refusal
	}
	sub.isJob = isJob(r)
	sub.Digest = digest(r, sub.isJob, body)
	request := task.Request{
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Host:   r.Host,
		Header: endToEndHeader(r.Header),
		Body:   body,
	}
	if !sub.isJob {
		sub.Tasks = []task.Request{request}
		return nil
	}
	if r.Method != http.MethodPost {
		return notRun(http.StatusMethodNotAllowed, "bad-job", "a job is sent with "+r.Method, "use POST")
	}
	tasks, refusal := decodeJob(body, request, c.options.Limits)
	sub.Tasks = tasks
	return refusal
}

// isJob reports whether the body is a job of several tasks, by its content
// type.
func isJob(r *http.Request) bool {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && kind == jobMediaType
}

// readBody reads the whole body within its size limit, until the deadline or
// bodyReadTimeout, whichever is earlier.
func (c *Receiver) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, *problem) {
	limit := c.options.Limits.BodyBytes
	tooLarge := notRun(http.StatusRequestEntityTooLarge, "body-too-large",
		fmt.Sprintf("the body has more than %d bytes", limit), "send less in one request, or split the job")
	if r.ContentLength > int64(limit) {
		return nil, tooLarge
	}
	controller := http.NewResponseController(w)
	if latest := time.Now().Add(bodyReadTimeout); deadline.After(latest) {
		deadline = latest
	}
	_ = controller.SetReadDeadline(deadline) // If deadlines are not supported, the timeouts of the server apply.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	_ = controller.SetReadDeadline(time.Time{}) // See above.
	var maxBytesErr *http.MaxBytesError
	if errors.As(err, &maxBytesErr) {
		return nil, tooLarge
	}
	if err != nil {
		return nil, notRun(http.StatusBadRequest, "body-cut", "the body ended early: "+err.Error(), "send the whole body in time")
	}
	return body, nil
}

// digest hashes what makes two submissions with one idempotency key equal:
// method, path and body, and whether the body is a job. Each part is prefixed
// by its length, so that parts can't run into each other.
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
