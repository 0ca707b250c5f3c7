package rehearser_test

import (
	"testing"

	"agatevalve/rehearser"
)

func BenchmarkLargeDay(b *testing.B) {
	for b.Loop() {
		r := rehearser.Play(rehearser.LargeDay(1))
		b.Logf("%+v", r)
	}
}
