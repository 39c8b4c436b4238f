// Cold turns: the deal of what a node that has just started bears among all hosts. No I/O and no clock.
//
// Bound promised. What all hosts together send such a node in any window W is at most C (the stated units),
// and from a declared start on C + E(t), growing as slowly as the settings allow, whoever knows what and
// whatever becomes of datagrams. Layer 0 deals out C by the absolute clock, to hosts that know of the start
// in whatever way; layer 1 deals out E, counted one window late, by the listed start, to those whose list has
// it. Each layer is dealt in parts (1 / hosts a window) where such a part holds a usual request of q units;
// else in turns: time is cut into slots of W/m, and slot k belongs to the hosts numbered [A(k), A(k+1)),
// modulo all, with q units each that stay good for h slots more, and A a running sum of (total - q) /
// ((m+2+h) q). Proof: a window touches m+1 slots, m+2 where clocks differ by up to a slot, and turns that
// began up to h slots before. Their hosts number at most A(k+m+2) - A(k-h) + 1 (rounding) <= (total - q) / q
// + 1 = total / q, so they send at most the total. Turns follow from the clock and the list alone: a restart
// changes none, and a fresh instance sends nothing to a cold node for a window, since its forerunner may just
// have. Between turns and parts lies an empty window.
//
// Turns handed on, where hosts may talk. A host that is denied asks one of those whose turn it is, known to
// all from the clock and their places. A holder with nothing for that node gives its turn away: from then on
// the turn counts as spent by the holder, and the other may spend it for g slots, in which it would have been
// good anyway. So a turn is spent once, by the one or the other, within its time, and the proof stands. An
// answer counts only for the call it names, and once: one that is lost, late or doubled wastes a turn at the
// most. A fresh instance waits g slots longer, since its forerunner may have given away what it would spend.
#pragma once

#include "marblewood/scheduler.hpp"

#include <deque>

namespace marblewood::overload {

struct ColdNode {                      // what a host knows of a node, as far as its starts go
    NodeEntry entry;                   // as listed
    Micros cold_since = INT64_MIN / 4; // its last start
    bool declared = false;             // by the list
    std::deque<Legacy::Spent> spent;   // of own parts and turns
    struct Call {                      // for a turn, not yet answered
        std::uint64_t number = 0;
        Micros at = 0;
    };
    std::deque<Call> calls;
    struct Gift {
        Micros until = 0;
        double units = 0;
    };
    std::deque<Gift> gifts;
    int asked = 0; // holders so far, so that another is asked each time
};

class ColdTurns {
public:
    explicit ColdTurns(const Settings &settings);

    bool cold(const ColdNode &node, Micros now) const { return now - node.cold_since < set_.warm_after; }
    // Whether a request of so many units may go there now. `born`: since when this instance decides.
    bool bears(const ColdNode &node, double units, Micros now, Micros born) const;
    void spend(ColdNode &node, double units, Micros now);
    void forget(ColdNode &node, Micros now); // what no longer counts

    // A call for a turn there: whom to ask and what to say; nothing where nobody can help, or not yet again.
    std::optional<TellPeers> ask(ColdNode &node, Micros now, Micros born);
    // What a peer says. Empty where it makes no sense, which is counted.
    struct Word {
        bool gift = false; // else a call
        std::uint64_t node = 0, number = 0;
        int layer = 0;
        Micros at = 0; // a call: the start that layer 1 counts from; a gift: until when
    };
    std::optional<Word> read(const std::string &data);
    // Of a call, where this host has nothing for the node: its turn, if it has one, given away.
    std::optional<TellPeers> give(ColdNode &node, const Word &call, int to, Micros now, Micros born);
    // Of a gift: whether there is something to spend now.
    bool take(ColdNode &node, const Word &gift, Micros now);

    const TurnFigures &figures() const { return figures_; }

private:
    struct Deal { // of a layer, to this host, now
        double left = 0;
        bool in_turns = false;
    };
    bool awake(Micros now, Micros born) const;
    Micros slot() const;
    double usual() const;
    double grown_a_slot() const;
    double total(const ColdNode &node, int layer, Micros at) const;
    double turns(int layer, double k) const;
    std::int64_t slot_of(const ColdNode &node, int layer, Micros now) const;
    // The hosts, counted on beyond their number, whose turns are good from `slot` on for `ahead` slots.
    std::pair<std::int64_t, std::int64_t> holders(int layer, std::int64_t slot, int ahead) const;
    bool dealt_in_turns(const ColdNode &node, int layer, Micros now) const;
    Deal deal(const ColdNode &node, int layer, Micros now, int ahead = 0) const;

    Settings set_;
    int hold_;                // h
    std::uint64_t calls_ = 0; // for their numbers
    TurnFigures figures_;
};

} // namespace marblewood::overload
