package simulation

import "strings"

// earlierTexts replaces reworded texts of a history by the texts that they had
// when the digests in testdata were recorded, so that a change of wording alone
// keeps the digests valid. Each pair is the present text and the earlier text.
// A present text must stand for one earlier text only.
var earlierTexts = strings.NewReplacer(
	"fault injected: ", "trouble: ",
	"all faults repaired", "all is mended",
	" asked to stop", " is told to end",
	" skipped corrupt files: ", " passed over ",
	" disk write failed: ", " is refused: ",
	" committed true conflict ", " kept true conflict ",
	" committed false conflict ", " kept false conflict ",
	" activated binding set ", " serves under ",
	"session closed, or wrong term or role", "not here",
	"status received", "told standing",
	"decision received", "told",
	"proposal won", "ballot won",
	"lease renewal", "renewal",
	"repaired from a newer record", "offer",
	"backup unreachable", "backup silent",
	"unreachable for ", "silent for ",
	" ms, from ", " ms, to ",
	"backup out of sequence", "backup out of step",
	"no reachable replica is shown", "no replica that can be heard is shown",
	"no longer waiting", "well again",
	"is undecided until it answers again", "is in doubt until it is heard again",
	"promotion abandoned, its term skipped", "intent given up, its term passed over",
	"promotion abandoned", "intent given up",
	"no replica is reachable: commits could not be replicated", "no replica can be heard: commits could not be made safe",
	"replica removed as candidate", "replica struck as candidate",
	" gone, restarted or behind", " gone, reborn or behind",
	" is back and nearly caught up", " is back and near",
	"no candidate is reachable", "no candidate can be heard",
	"no node has reached it", "no node has heard of it",
	"(unreachable ", "(silent ",
	"; answered ", "; heard ",
	", unreachable ", ", silent ",
	", complete ", ", whole ",
	", and no other instance is reachable", ", and no other instance can be heard",
	"answers overdue at ", "owes answers to ",
	" truncates its log from ", " is cut back from ",
	" becomes primary of term ", " leads term ",
	" applies the writer role of ", " holds ",
	" requests promotion of ", " calls for ",
	" to primary of ", " to lead ",
	", fencing token ", ", fence ",
)
