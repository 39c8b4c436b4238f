// What keeper and brokers say to each other about cells. Any of it may be lost, doubled, reordered or late.
#pragma once

#include "cells/map.hpp"

#include <variant>

namespace marblewood::cells {

// What a source gives up of a volume, and its targets take over. The units are of all that gave; each target
// takes an even part.
struct Left {
    double limit = 0;   // units in the plan's limit's store
    double reserve = 0; // units in the reserve's store
    struct Key {        // of a keyed write whose repeat window is open
        std::uint64_t hash = 0;
        Micros until = 0;   // Unix time
        std::string source; // the broker that serves its repeats
        bool operator==(const Key &) const = default;
    };
    std::vector<Key> keys;
    bool operator==(const Left &) const = default;
};

enum class Verb : std::uint8_t { Prepare, Fence, Adopt, Open, Forget, Abort };
// To a broker: a step of a move. Repeated until it is answered.
struct Order {
    Verb verb = Verb::Prepare;
    VolumeId volume{};
    Epoch move;
    std::string from, to; // cells
    std::string teller;   // the target broker whose word decides
    Left left;            // Adopt: this broker's part
    bool operator==(const Order &) const = default;
};

enum class Word : std::uint8_t {
    Ready,    // target: will take it
    Declined, // target: can't
    Fenced,   // source: takes nothing new, still has some open
    Drained,  // source: nothing open, `left` given up
    Adopted,
    Opened,
    Forgotten,
    Aborted,
    Void // the order belongs to a move that is over here
};
struct Answer {
    Word word = Word::Void;
    VolumeId volume{};
    Epoch move;
    Left left;       // Drained
    std::string why; // Declined
    bool operator==(const Answer &) const = default;
};

// A broker to the keeper, at its start, at each reconnection, and every second.
struct Hello {
    Epoch map;                  // that it holds
    std::uint64_t greatest = 0; // number it has met, of maps and moves
    struct Volume {             // that it served lately
        VolumeId volume{};
        double reserve = 0; // units a second, by its plan
        double rate = 0;    // units a second, served through this broker
        double worth = 0;   // of a unit
        bool operator==(const Volume &) const = default;
    };
    std::vector<Volume> volumes; // the heaviest, bounded
    std::uint64_t others = 0;    // volumes that are not listed
    std::uint32_t ready = 0;     // nodes of its cell that may be sent to
};

// The whole map, with the moves under way, so that a broker that starts anew knows what is fenced.
struct News {
    Map map;
    struct Moving {
        VolumeId volume{};
        Epoch move;
        std::string from, to, teller;
        bool operator==(const Moving &) const = default;
    };
    std::vector<Moving> moving;
};
// What has changed since the map before, where only pins have: to brokers that hold that map. Others answer
// with a Hello, and get the whole.
struct Change {
    Epoch base, epoch;
    std::vector<std::pair<VolumeId, std::string>> pins; // an empty name: no pin any more
    std::vector<News::Moving> moving;
};
struct Behind { // the answer to News of a number already met: the keeper goes on above it
    Epoch map;
    std::uint64_t greatest = 0;
    Map own; // what the broker holds
};

struct Ask { // a source that is fenced and hears nothing, to the teller
    VolumeId volume{};
    Epoch move;
    std::string from, to;
};
struct Told { // the teller's word, written down before it is said
    VolumeId volume{};
    Epoch move;
    bool opened = false; // else: it never will be
};

using Message = std::variant<Order, Answer, Hello, News, Change, Behind, Ask, Told>;

} // namespace marblewood::cells
