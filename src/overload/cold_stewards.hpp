// Cold stewards: where hosts may talk, what a node that has just started bears from all of them is given out
// by a few of them, on call. No I/O and no clock. Where they may not: src/overload/cold_turns.hpp.
//
// Bound promised. What all hosts together send such a node in any window W is at most C (the stated units),
// and from a declared start on C + E(t), E growing as slowly as the settings allow, t being the window's
// begin; whoever knows what and whatever becomes of datagrams and processes. A node has S stewards at any
// time, each for its own 1 / S of that. Who they are follows from the node's name and the clock alone: time
// is cut into epochs of kEpoch windows, those of the S stewards apart by 1 / S of an epoch. A steward gives
// units out, to itself too, that may be spent for g from then on: the caller counts g from its call, by its
// own clock, which is earlier. So what is spent in a window [s, s + W] was given out within [s - g, s + W],
// and a steward gives out only what keeps the sum of its gifts over the last W + g within its part of C +
// E(now - W). It gives nothing in the first W + g + d of its epoch, d being the most by which clocks differ
// (a slot), nor of its process, since its forerunner's gifts may still be spent. A gift answers one call, by
// its number, once; a datagram that is lost, late or doubled wastes what was given at the most.
#pragma once

#include "overload/cold_turns.hpp"

namespace marblewood::overload {

class ColdStewards {
public:
    explicit ColdStewards(const Settings &settings);

    // Whether a request of so many units may go there now. `born`: since when this process decides.
    bool bears(const ColdNode &node, double units, Micros now, Micros born) const;
    void spend(ColdNode &node, double units, Micros now, Micros born);
    void forget(ColdNode &node, Micros now); // what no longer counts

    // A call for so many units: whom to ask and what to say; nothing where nobody can help, or not yet again.
    std::optional<TellPeers> ask(ColdNode &node, double units, Micros now);
    // What a peer says. Empty where it makes no sense, which is counted.
    struct Word {
        bool gift = false; // else a call
        std::uint64_t node = 0, number = 0;
        double units = 0;
    };
    std::optional<Word> read(const std::string &data);
    std::optional<TellPeers> give(ColdNode &node, const Word &call, int to, Micros now, Micros born);
    bool take(ColdNode &node, const Word &gift, Micros now); // whether there is something to spend now

    const TurnFigures &figures() const { return figures_; }

private:
    Micros slot() const { return std::max<Micros>(1, set_.fall_window / 16); }
    Micros epoch() const;
    Micros holds() const; // us after a gift for which it counts: W + g, and some for clocks that run apart
    int steward(const ColdNode &node, int nth, Micros now) const;
    double gifts(const ColdNode &node, Micros now) const;
    // Which of the parts that this host may give from now bears so many units.
    std::optional<int> part(const ColdNode &node, double units, Micros now, Micros born) const;
    void give_out(ColdNode &node, double units, int part, Micros now);

    Settings set_;
    std::uint64_t calls_ = 0;
    TurnFigures figures_;
};

} // namespace marblewood::overload
