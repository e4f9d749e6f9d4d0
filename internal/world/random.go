package world

import "time"

// DrawFault returns a failure of any kind. Draw returns a number between
// least and most; whoever calls decides how it is chosen.
func DrawFault(draw func(label string, least, most int) int) Fault {
	lasting := time.Duration(draw("lasting", 50, 8000)) * time.Millisecond
	target := draw("target", Primary, 2)
	switch draw("kind", 0, 11) {
	case 0:
		return KillTarget{Target: target, For: lasting}
	case 1:
		return FreezeTarget{Target: target, For: lasting}
	case 2:
		return CutTarget{Target: target, VMs: true, For: lasting}
	case 3:
		return CutTarget{Target: target, Targets: true, For: lasting}
	case 4:
		return CutTarget{Target: target, VMs: true, Targets: true, OneWay: true, For: lasting}
	case 5:
		return CutTarget{Target: target, VMs: true, Targets: true, For: lasting}
	case 6:
		return CutZone{Zone: draw("zone", 0, 2), For: lasting}
	case 7:
		return Silence{Target: target}
	case 8:
		by := time.Duration(draw("by", 0, 6000)) * time.Millisecond
		return Lag{Target: draw("replica", 0, 2), By: by, For: lasting}
	case 9:
		return Outage{Lossy: draw("lossy", 0, 1) == 1, For: lasting}
	case 10:
		return KillVM{VM: draw("vm", 0, 7), For: lasting}
	default:
		return FreezeVM{VM: draw("vm", 0, 7), For: lasting}
	}
}
