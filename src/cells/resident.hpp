// A broker's part in cells: where each request goes, and the broker's side of every move. No I/O and no
// clock; what it wants done it appends as actions. docs/design/cells.md has the protocol.
#pragma once

#include "cells/messages.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace marblewood::cells {

struct Post {
    std::string to; // a broker's name, or empty: the keeper
    Message message;
};
struct Save {};  // state() must be on disk before any Post behind this one goes out
struct Resolve { // requests of this volume that wait are to be routed again
    VolumeId volume{};
};
struct MapTaken {}; // map() is another
using Action = std::variant<Post, Save, Resolve, MapTaken>;

// The module's stores of a volume, as whoever wires the program reaches them.
class Stores {
public:
    virtual ~Stores() = default;
    virtual Left take(VolumeId volume) = 0; // what is left; nothing is left there afterwards
    virtual void give(VolumeId volume, double limit, double reserve) = 0; // sets them
};

struct Asked { // what counts of a request for where it goes
    VolumeId volume{};
    std::optional<std::uint64_t> key; // hash of its repeat key, in a keyed class
    double units = 1;
    double reserve = 0; // of its plan, units a second
    double worth = 1;   // of a unit
    bool limited = false;
    Micros until = 0; // when its client leaves
    int hops = 0;     // times it was forwarded
};
struct Route {
    enum class Kind { Serve, Forward, Wait, Refuse } kind = Kind::Refuse;
    std::string broker; // Forward
    int hosts = 1;      // Serve: brokers that the volume uses
};

class Resident {
public:
    struct Timing {
        Micros keep_keys = 0;         // us that a key counts after its request's end
        Micros vouch_after = 0;       // us after the start from which all keys that count are known
        Micros ask_after = 1'000'000; // us of silence after which a fenced source asks the teller
        Micros hello_every = 1'000'000;
    };
    static constexpr int kMostHops = 3;
    static constexpr std::size_t kMostReported = 2048; // volumes in a Hello

    Resident(std::string name, Stores &stores, Timing timing, Micros now);

    // Requests. What route() says is to be served is told by began(), and ended() in the end.
    Route route(Micros now, const Asked &asked) const;
    void began(Micros now, const Asked &asked);
    void ended(Micros now, const Asked &asked, bool served, std::vector<Action> &actions);

    void handle(Micros now, const std::string &from, const Message &message, std::vector<Action> &actions);
    void tick(Micros now, std::vector<Action> &actions); // some times a second
    void ready_nodes(std::uint32_t count) { ready_ = count; }

    const std::string &name() const { return name_; }
    const std::optional<Map> &map() const { return map_; }
    const Cell *cell() const { return map_ ? map_->cell_of_broker(name_) : nullptr; }
    struct Held { // for tests and figures
        std::size_t volumes = 0, keys = 0, afar = 0, records = 0, fenced = 0;
    };
    Held held() const;

    // What must outlive the process.
    enum class Stage : std::uint8_t { Ready, Adopted, Opened, Fenced, Drained, Gone, Over };
    struct Record {
        Epoch move; // the greatest acted on
        Stage stage = Stage::Over;
        std::string from, to, teller;
        Left left;        // Drained: what was given; Adopted: what is to be taken
        Micros since = 0; // Fenced: when word last came
        // Where it lives by a move that ended here, as long as the map is older than that.
        std::string home = {};
        std::uint64_t home_number = 0;
    };
    struct State {
        std::optional<Map> map;
        std::uint64_t greatest = 0;
        std::map<VolumeId, Record> records;
        std::set<std::uint64_t> moving; // moves under way when the map was drawn
    };
    State state() const { return {map_, greatest_, records_, moving_}; }
    void restore(State state); // before anything else

private:
    struct Key {
        Micros until = 0; // when it counts no more
        double units = 0;
        int open = 0;
        bool limited = false, served = false;
    };
    struct Volume {
        std::size_t open = 0;
        double reserve = 0, worth = 0, units = 0; // units: since the last Hello
        double rate = 0;
        double kept = 0; // units of the limit for repeats of keys, after it has gone
        Micros used = 0;
        std::unordered_map<std::uint64_t, Key> keys;
    };
    struct Afar {
        std::string broker;
        Micros until = 0;
    };

    const Cell *home(VolumeId volume) const;
    const Record *record(VolumeId volume) const;
    bool fenced(VolumeId volume) const;
    bool stands(const Record &record) const; // over the map
    void on(Micros now, const std::string &from, const Order &order, std::vector<Action> &actions);
    void on(Micros now, const News &news, std::vector<Action> &actions);
    void on(Micros now, const Change &change, std::vector<Action> &actions);
    void on(const Ask &ask, const std::string &from, std::vector<Action> &actions);
    void on(Micros now, const Told &told, std::vector<Action> &actions);
    void drain(Micros now, VolumeId volume, std::vector<Action> &actions);
    void give_back(VolumeId volume, Record &record, std::vector<Action> &actions);
    void let_go(VolumeId volume, Record &record, std::vector<Action> &actions);
    void hello(Micros now, std::vector<Action> &actions);
    void meet(const Epoch &epoch) { greatest_ = std::max(greatest_, epoch.number); }

    std::string name_;
    Stores &stores_;
    Timing timing_;
    Micros born_, greeted_ = 0;
    std::optional<Map> map_;
    bool vouched_ = false; // the map is the keeper's word, or our own from disk
    std::uint64_t greatest_ = 0;
    std::uint32_t ready_ = 0;
    std::set<std::uint64_t> moving_; // moves under way when the map was drawn
    std::map<VolumeId, Record> records_;
    std::unordered_map<std::uint64_t, Volume> volumes_;
    std::map<VolumeId, std::unordered_map<std::uint64_t, Afar>> afar_; // keys whose repeats go elsewhere
    mutable std::size_t turn_ = 0;
};

} // namespace marblewood::cells
