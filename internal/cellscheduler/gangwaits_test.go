package cellscheduler

import "testing"

func TestGangWaitReason(t *testing.T) {
	for want, room := range map[waitReason]gangRoom{
		waitsForApproval:     {tasks: 4, whenEmpty: 3},
		waitsForRoom:         {tasks: 4, whenEmpty: 9, free: 3},
		waitsForTokens:       {tasks: 4, whenEmpty: 9, free: 5, withToken: 2},
		waitsForReservations: {tasks: 4, whenEmpty: 9, free: 5, withToken: 5, unreserved: 3},
		waitsForFit:          {tasks: 4, whenEmpty: 9, free: 5, withToken: 5, unreserved: 4},
	} {
		if got := room.reason(); got != want {
			t.Errorf("reason of %+v is %q, want %q", room, got, want)
		}
	}
}
