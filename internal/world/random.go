package world

import "time"

// DrawFault returns a fault whose kind, victim and duration are chosen by draw.
// Draw returns an integer from least to most, both included; label names the
// value, for a shrinking test runner's report.
func DrawFault(draw func(label string, least, most int) int) Fault {
	duration := time.Duration(draw("lasting", 50, 8000)) * time.Millisecond
	target := draw("target", Primary, 2)
	switch draw("kind", 0, 11) {
	case 0:
		return KillTarget{Target: target, For: duration}
	case 1:
		return FreezeTarget{Target: target, For: duration}
	case 2:
		return CutTarget{Target: target, VMs: true, For: duration}
	case 3:
		return CutTarget{Target: target, Targets: true, For: duration}
	case 4:
		return CutTarget{Target: target, VMs: true, Targets: true, OneWay: true, For: duration}
	case 5:
		return CutTarget{Target: target, VMs: true, Targets: true, For: duration}
	case 6:
		return CutZone{Zone: draw("zone", 0, 2), For: duration}
	case 7:
		return Silence{Target: target}
	case 8:
		by := time.Duration(draw("by", 0, 6000)) * time.Millisecond
		return Lag{Target: draw("replica", 0, 2), By: by, For: duration}
	case 9:
		return Outage{Lossy: draw("lossy", 0, 1) == 1, For: duration}
	case 10:
		return KillVM{VM: draw("vm", 0, 7), For: duration}
	default:
		return FreezeVM{VM: draw("vm", 0, 7), For: duration}
	}
}
