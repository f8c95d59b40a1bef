package compat

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLevelsRiseOnlyWhenAllHaveSpokenThem checks, for processes that come and go at random, that a level is proposed
// only if every present process has spoken it throughout SettlingTime, or if the group holds no state yet.
func TestLevelsRiseOnlyWhenAllHaveSpokenThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var settling Settling
		var agreed Level
		spokenSince := map[Level]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "looks") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			var present []Process
			for _, speaks := range rapid.SliceOfN(rapid.Uint32Range(0, 2), 0, 4).Draw(t, "present") {
				present = append(present, Process{Speaks: Level(speaks)})
			}
			fresh := rapid.Bool().Draw(t, "fresh")
			for level := Level(1); level <= 2; level++ {
				all := len(present) > 0
				for _, process := range present {
					all = all && process.Speaks >= level
				}
				if _, since := spokenSince[level]; !all {
					delete(spokenSince, level)
				} else if !since {
					spokenSince[level] = now
				}
			}
			raised, due := settling.Update(now, agreed, present, fresh)
			if !due {
				continue
			}
			since, spoken := spokenSince[raised]
			if raised <= agreed || !spoken || !fresh && now-since < SettlingTime {
				t.Fatalf("%v after %v: spoken %v since %v, now %v", raised, agreed, spoken, since, now)
			}
			agreed = raised
		}
	})
}

// TestLevelRisesOnceItHasSettled checks that a level rises when all processes have spoken it for SettlingTime, and
// that a process of a lower level restarts that time.
func TestLevelRisesOnceItHasSettled(t *testing.T) {
	newer := []Process{{Name: "a", Speaks: Shares}, {Name: "b", Speaks: Shares}}
	var settling Settling
	for _, step := range []struct {
		at      time.Duration
		present []Process
		due     bool
	}{
		{0, newer, false},
		{SettlingTime - 1, newer, false},
		{SettlingTime, append([]Process{{Name: "old"}}, newer...), false},
		{SettlingTime + 1, newer, false},
		{2 * SettlingTime, newer, false},
		{2*SettlingTime + 1, newer, true},
	} {
		if _, due := settling.Update(step.at, Base, step.present, false); due != step.due {
			t.Errorf("at %v: due %v", step.at, due)
		}
	}
	if _, due := new(Settling).Update(0, Base, newer, true); !due {
		t.Error("a group without state does not raise its level at once")
	}
	if _, due := new(Settling).Update(0, Base, nil, true); due {
		t.Error("a level is proposed without any process")
	}
	if _, lowest := Highest(append(newer, Process{Name: "old"})); lowest.Name != "old" {
		t.Errorf("%s is reported as the process with the lowest level, want old", lowest.Name)
	}
}
