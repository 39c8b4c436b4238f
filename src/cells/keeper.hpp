// The keeper's decisions: the one map, the one counter of epochs, every move. No I/O and no clock; what it
// wants done it appends as actions. docs/design/cells.md has the protocol.
#pragma once

#include "cells/placement.hpp"
#include "cells/resident.hpp"

namespace marblewood::cells {

struct Note { // for the log
    std::string text;
};
using KeeperAction = std::variant<Post, Save, Note>;

class Keeper {
public:
    struct Timing {
        Micros repeat_every = 200'000;  // us until an order that is not answered goes out again
        Micros step = 2'000'000;        // us for a step before the teller's word, then the move goes back
        Micros drain = 4'000'000;       // us for what is open at the sources
        std::size_t at_once = 8;        // moves that evacuations keep going
        Micros forget = 15'000'000;     // us until a volume that nobody reports is no tenant any more
        bool evacuate_drained = true;   // a cell none of whose nodes takes requests is evacuated by rule
        Micros drained_for = 1'000'000; // us for which it must be so
    };
    // What an operator is told: `ok`, or why not.
    struct Reply {
        bool ok = false;
        std::string text;
    };

    // `first` is the map of the operators' file; what state() held of an earlier run, given to restore(),
    // stands over it as far as volumes go.
    Keeper(Map first, std::uint64_t origin, Timing timing);

    void handle(Micros now, const std::string &from, const Message &message,
                std::vector<KeeperAction> &actions);
    void tick(Micros now, std::vector<KeeperAction> &actions);

    // Operators.
    Reply move(Micros now, VolumeId volume, const std::string &to, std::vector<KeeperAction> &actions);
    Reply pin(VolumeId volume, std::vector<KeeperAction> &actions); // where it is
    Reply unpin(Micros now, VolumeId volume, std::vector<KeeperAction> &actions);
    Reply freeze(const std::string &cell, bool on, std::vector<KeeperAction> &actions);
    Reply evacuate(const std::string &cell, std::vector<KeeperAction> &actions);
    Reply restore_cell(const std::string &cell, std::vector<KeeperAction> &actions);
    // Another layout: cells, brokers, nodes, capacities. Volumes that are known stay where they are and are
    // then moved, one by one, to where their hash puts them now. Refused, with nothing changed, where a cell
    // would go or change its brokers while volumes live there: evacuate it first.
    Reply relayout(Map fresh, std::vector<KeeperAction> &actions);
    // Where a volume is, and why.
    std::string where(VolumeId volume) const;

    enum class Stage : std::uint8_t {
        Preparing,
        Fencing,
        Draining,
        Adopting,
        Deciding,
        Opening,
        Forgetting,
        Aborting
    };
    struct Move {
        Epoch epoch;
        std::string from, to, teller;
        bool by_operator = false; // else by an evacuation, or on the way home
        Stage stage = Stage::Preparing;
        Micros since = 0, repeated = 0;
        std::vector<std::string> sources, targets;
        std::set<std::string> done; // brokers that have answered this stage
        std::map<std::string, Left> left;
        bool open_sent = false; // so the teller's word decides, and must be heard before it goes back
        std::string why;        // it goes back
    };
    struct Figures {
        std::uint64_t begun = 0, completed = 0, aborted = 0;
    };

    // What must outlive the process: the map, the counter, and the moves.
    struct State {
        Map map;
        std::uint64_t counter = 0;
        std::set<VolumeId> by_operator; // pins set by hand
        std::map<VolumeId, Move> moves;
    };
    State state() const { return {map_, counter_, by_operator_, moves_}; }
    // Cells, brokers and nodes stay those of the file that this keeper was started with.
    void restore(State state);

    bool settled() const { return settled_; } // a majority of the brokers has been heard
    const Map &map() const { return map_; }
    const std::map<VolumeId, Move> &moves() const { return moves_; }
    const Figures &figures() const { return figures_; }
    struct CellFigures {
        std::size_t volumes = 0;
        double promised = 0, rate = 0;
        std::uint32_t ready = 0;
        std::size_t brokers_heard = 0;
    };
    std::map<std::string, CellFigures> cells(Micros now) const;

private:
    struct Heard {
        Micros at = 0;
        std::uint32_t ready = 0;
        Epoch map;
        std::map<VolumeId, Hello::Volume> volumes;
    };
    struct Known {
        double reserve = 0, rate = 0, worth = 0;
        Micros at = 0;
    };

    std::uint64_t next() { return ++counter_; }
    void publish(std::vector<KeeperAction> &actions);
    std::vector<News::Moving> moving() const;
    void news_to(const std::string &broker, std::vector<KeeperAction> &actions) const;
    void settle(std::vector<KeeperAction> &actions);
    void take_over(const Map &map);
    std::optional<std::string> start(Micros now, VolumeId volume, const std::string &to, bool by_operator,
                                     std::vector<KeeperAction> &actions);
    void order(Micros now, VolumeId volume, Move &move, std::vector<KeeperAction> &actions) const;
    void to_stage(Micros now, VolumeId volume, Move &move, Stage stage, std::vector<KeeperAction> &actions);
    void advance(Micros now, VolumeId volume, Move &move, std::vector<KeeperAction> &actions);
    void commit(Micros now, VolumeId volume, Move &move, std::vector<KeeperAction> &actions);
    void go_back(Micros now, VolumeId volume, Move &move, std::string why,
                 std::vector<KeeperAction> &actions);
    void end(VolumeId volume, std::vector<KeeperAction> &actions);
    void on(Micros now, const std::string &from, const Answer &answer, std::vector<KeeperAction> &actions);
    void on(Micros now, const std::string &from, const Hello &hello, std::vector<KeeperAction> &actions);
    void on(const std::string &from, const Behind &behind, std::vector<KeeperAction> &actions);
    void pin_tenants(const std::string &cell);
    void relieve(Micros now, std::vector<KeeperAction> &actions);
    void evacuations(Micros now, std::vector<KeeperAction> &actions);
    Promised promised() const;
    std::vector<Tenant> tenants(const std::string &cell) const;
    static std::vector<std::string> expected(const Move &move);

    Map map_, published_; // the second: as the brokers were told last
    std::uint64_t origin_, counter_ = 0;
    std::uint64_t newest_ = 0; // number of the newest map that a broker has told of
    Timing timing_;
    std::set<VolumeId> by_operator_;
    std::map<VolumeId, Move> moves_;
    std::map<std::string, Heard> heard_;
    std::map<VolumeId, Known> known_;
    std::set<std::string> been_ready_; // cells with a node that took requests, since the start
    std::map<std::string, Micros> drained_since_;
    std::map<VolumeId, Micros> rest_; // after a move that went back: no rule tries it until then
    Figures figures_;
    bool settled_ = false;
    Micros now_ = 0;
};

} // namespace marblewood::cells
