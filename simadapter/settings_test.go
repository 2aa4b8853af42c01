package simadapter

import (
	"reflect"
	"testing"
	"time"

	"ryerill/balancer"
)

func TestSettingsAreParsed(t *testing.T) {
	cfg, err := ParseSettings(`Unknown.Key=1
Classes.count=2
Classes.0.Name=a
Classes.0.Slo=2500000
Classes.0.Deadline=6000000
Classes.0.Effect=token
Classes.0.Group=cell
Classes.0.MemorySpan=10000000
Classes.0.LateWorth=0.25
Classes.0.Worth=8.0
Classes.1.Effect=pure
Classes.1.KeepOrder=true
Customers.count=1
Customers.0.Name=x_y
Customers.0.QuotaPerS=49.0
Discovery=subscribe
GroupSize=3
Tier=1
Tiers=p,q,r
ValueBy=work
Limits.TryLimit=5
Limits.MayCancel=true
Contract.ColdFrom=0.13
Contract.WarmUp=23000000
Contract.DrainBindsAlone=true
Contract.KeyRest=50000
Goal.LogLossPart=0.2
Goal.TopNines=3
LoadInfo.Names=pending,cpu_share
`)
	want := balancer.Config{
		Classes: []balancer.Class{
			{Name: "a", LatencyObjective: 2500 * time.Millisecond, Deadline: 6 * time.Second, Effect: balancer.Keyed,
				Group: balancer.GroupCell, IdempotencyWindow: 10 * time.Second, LateWeight: 0.25, PriorityWeight: 8},
			{Effect: balancer.Safe, Group: balancer.GroupCell, OrderedByKey: true},
		},
		Tenants: []balancer.Tenant{{Name: "x_y", Quota: 49}}, ReplicaCount: 3, Tier: 1, Tiers: 3,
		Subscribe: true, WeightByWork: true, LoadReportNames: []string{"pending", "cpu_share"},
		Limits: balancer.Limits{MaxAttempts: 5, AllowCancel: true},
		Contract: balancer.Contract{InitialCapacity: 0.13, WarmUpPeriod: 23 * time.Second, OnlyDrainingBinds: true,
			KeyQuarantine: 50 * time.Millisecond},
		Goal: balancer.Goal{LogLossWeight: 0.2, TopNines: 3},
	}
	if err != nil || !reflect.DeepEqual(cfg, want) {
		t.Errorf("%v\ngot  %+v\nwant %+v", err, cfg, want)
	}
	for _, bad := range []string{"Tier=x", "Classes.count=-1", "Classes.count=99999999999", "Contract.ColdFrom=NaN",
		"Contract.KeyRest=soon", "Contract.KeyRest=NaN", "Goal.TopNines=many", "Goal.LogLossPart=Inf"} {
		if _, err := ParseSettings(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
