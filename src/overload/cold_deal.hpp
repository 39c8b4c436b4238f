// What a node that has just started may be sent from here: by the stewards' gifts where hosts may talk, else
// in turns. No I/O and no clock.
#pragma once

#include "overload/cold_stewards.hpp"

namespace marblewood::overload {

class ColdDeal {
public:
    explicit ColdDeal(const Settings &settings) : set_(settings), turns_(settings), stewards_(settings) {}

    bool cold(const ColdNode &node, Micros now) const {
        return set_.fall_window > 0 && now - node.cold_since < set_.warm_after;
    }
    bool bears(const ColdNode &node, double units, Micros now, Micros born) const {
        return !cold(node, now) ||
               (set_.peers ? stewards_.bears(node, units, now, born) : turns_.bears(node, units, now, born));
    }
    void spend(ColdNode &node, double units, Micros now, Micros born) {
        if (!cold(node, now)) return;
        set_.peers ? stewards_.spend(node, units, now, born) : turns_.spend(node, units, now);
    }
    void forget(ColdNode &node, Micros now) {
        set_.peers ? stewards_.forget(node, now) : turns_.forget(node, now);
    }
    // A call for so many units, where it may help.
    std::optional<TellPeers> ask(ColdNode &node, double units, Micros now) {
        return set_.peers && cold(node, now) ? stewards_.ask(node, units, now) : std::nullopt;
    }
    ColdStewards &stewards() { return stewards_; } // to read what others say, and answer
    const TurnFigures &figures() const { return stewards_.figures(); }

private:
    Settings set_;
    ColdTurns turns_;
    ColdStewards stewards_;
};

} // namespace marblewood::overload
