package workload

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
)

// setOther gives a value another value of its type.
func setOther(t *testing.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Slice:
		v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
	default:
		if v.Type() != reflect.TypeFor[time.Time]() {
			t.Fatalf("no other value of %s", v.Type())
		}
		v.Set(reflect.ValueOf(v.Interface().(time.Time).Add(time.Millisecond)))
	}
}

// Guards against a field of a submission in which two submissions may differ and yet be taken for
// one, and against a repeat that is refused because the manifest has changed.
func TestFingerprintCoversWhatTheCallerSent(t *testing.T) {
	is := is.New(t)
	example := func() *Submission {
		return &Submission{
			ID: "id", Tenant: "t", Queue: "q", Spec: "s", StartAt: time.UnixMilli(5), AcceptedAt: time.UnixMilli(7),
			Steps: []Step{{Tasks: 1, Request: hostapi.Resources{MilliCPU: 3}}, {Tasks: 2, After: []int{0}}},
		}
	}
	want := example().Fingerprint()
	is.True(want != 0)
	s := reflect.TypeFor[Submission]()
	for i := range s.NumField() {
		other := example()
		field := reflect.ValueOf(other).Elem().Field(i)
		switch name := s.Field(i).Name; name {
		case "Policy":
			other.Policy = Policy{Service: "x", Priority: 2, MaxAttempts: 3, SlackFactor: 4, TargetCompletion: 5}
			is.Equal(other.Fingerprint(), want)
		case "ID", "Tenant", "Queue", "AcceptedAt":
			setOther(t, field)
			is.Equal(other.Fingerprint(), want)
		default:
			setOther(t, field)
			if other.Fingerprint() == want {
				t.Errorf("the same fingerprint with another %s", name)
			}
		}
	}
	step, request := reflect.TypeFor[Step](), reflect.TypeFor[hostapi.Resources]()
	for i := range step.NumField() {
		if step.Field(i).Type == request {
			continue
		}
		other := example()
		setOther(t, reflect.ValueOf(&other.Steps[1]).Elem().Field(i))
		if other.Fingerprint() == want {
			t.Errorf("the same fingerprint with another %s of a step", step.Field(i).Name)
		}
	}
	for i := range request.NumField() {
		other := example()
		setOther(t, reflect.ValueOf(&other.Steps[1].Request).Elem().Field(i))
		if other.Fingerprint() == want {
			t.Errorf("the same fingerprint with another %s of a request", request.Field(i).Name)
		}
	}
}
