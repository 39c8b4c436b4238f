// What stands round the brokers in an experiment, all on one loop: emulated nodes, discovery, clients; and
// the brokers and the keeper themselves, as processes.
#pragma once

#include "cells/map.hpp"
#include "core/deadlines.hpp"
#include "lab/lists.hpp"
#include "lab/oracle.hpp"
#include "lab/relay.hpp"
#include "net/resp/parser.hpp"
#include "net/sockets.hpp"

#include <filesystem>
#include <list>
#include <memory>
#include <random>
#include <sys/types.h>
#include <unordered_map>
#include <unordered_set>

namespace marblewood::lab {

namespace asio = boost::asio;
using asio::ip::tcp;

// One storage node. Its cores take requests in the order of arrival; what waits beyond its queue is turned
// away.
class EmulatedNode {
public:
    struct Surroundings { // what nodes of an experiment share
        std::function<void(const std::string &id, std::uint64_t volume, double units)> taken;
        std::function<void(const std::string &key)> ran; // a keyed write has begun
        std::map<std::string, Micros> &keys;             // of its group: when they were first sent
        Micros window = 0;
    };
    EmulatedNode(asio::io_context &io, core::Deadlines &deadlines, std::string name, const NodeModel &model,
                 Micros fall_window, std::uint64_t seed, Surroundings around);
    void start();
    void drain(bool on) { draining_ = on, drain_told_ = 0, drains_ += on; }
    // Every broker has been told of this drain. What still comes after `grace` is counted.
    void told_of_drain(int drain, Micros grace) {
        if (draining_ && drain == drains_ && drain_told_ == 0) drain_told_ = deadlines_.clock.now() + grace;
    }
    int drains() const { return drains_; } // so far
    int sent_after_drain() const { return after_drain_; }
    void pause(Micros length);
    void slow(double times) { slow_ = times; } // from now on
    // Ends all connections, answers nothing for this long, then is cold.
    void restart(Micros down);

    const std::string &name() const { return name_; }
    int port() const { return port_; }
    bool draining() const { return draining_; }
    Micros up_since() const { return up_since_; }
    double cold_worst() const { return cold_.worst(); }
    double cold_units() const { return cold_units_; } // sent here while it was cold
    Micros cold_time() const { return cold_from_; }   // when it was last cold from, 0: never

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::list<tcp::socket>::iterator client);
    asio::awaitable<std::string> answer(const net::resp::Value &command);
    asio::awaitable<void> until(Micros when);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    std::string name_;
    NodeModel model_;
    tcp::acceptor acceptor_;
    int port_ = 0;
    std::mt19937_64 random_;
    Surroundings around_;
    ColdWatch cold_;
    std::vector<Micros> cores_; // when each is free
    std::list<tcp::socket> clients_;
    int held_ = 0;
    bool draining_ = false;
    Micros down_until_ = 0, paused_until_ = 0, up_since_ = 0, drain_told_ = 0;
    int after_drain_ = 0, drains_ = 0;
    double slow_ = 1, cold_units_ = 0;
    Micros cold_from_ = 0;
    std::uint64_t generation_ = 0;
};

struct Process {
    std::vector<std::string> command;
    std::string log;
    pid_t pid = -1;
    void start();
    void kill(); // outright, and waits for its end
    void signal(int number) const;
};

struct Drawn : Asking { // drawn ahead of the run
    std::string piece, key;
    std::uint64_t luck = 0;
};

// Its coroutines refer to it for as long as its loop exists, so it is never destroyed: end() ends its
// processes.
class World {
public:
    struct Parts { // what of the experiment is played
        bool surges = true, faults = true, moves = true, talk = true;
    };
    World(const Experiment &experiment, std::uint64_t seed, std::filesystem::path folder, Parts parts);
    std::map<std::string, double> run(); // takes the experiment's time
    void end();
    const std::map<int, std::vector<double>> &series() const { return oracle_->series(); }

private:
    struct Broker {
        std::string name;
        int cell = 0, port = 0, link = 0, peer = 0, control = 0;
        Process process;
        Micros killed = 0;
        Micros stopped = 0, woken = 0; // last paused from, and until
        std::list<std::pair<Micros, std::unique_ptr<tcp::socket>>> idle;
    };
    struct Volume {
        VolumeId id{};
        int plan = 0, cell = 0;
        std::vector<int> brokers;
        std::string spelt;
        double busiest = 0;
        Micros shift = 0;
    };
    int broker_for(const Volume &volume, std::uint64_t luck) const;

    void lay_out();
    void draw();
    void write_settings();
    std::string listed(std::size_t broker) const;
    void changed();
    asio::awaitable<void> play();
    asio::awaitable<bool> ready();
    asio::awaitable<void> request(const Drawn &drawn);
    asio::awaitable<void> fault(Fault fault);
    asio::awaitable<void> move(double at, std::uint64_t luck);
    asio::awaitable<std::optional<std::pair<int, std::string>>> keeper(std::string method, std::string path,
                                                                       std::string body);
    asio::awaitable<void> rest(Micros length) { return lab::rest(io_, length); }
    asio::awaitable<void> count_moves();
    struct Got {
        enum class Kind { Value, Busy, Error, Refused, Broken, Crossed, Silent } kind = Kind::Silent;
        std::string text;
    };
    asio::awaitable<Got> ask(Broker &broker, std::string command, Micros until);

    const Experiment &experiment_;
    const Settings settings_;
    std::uint64_t seed_;
    std::filesystem::path folder_;
    Parts parts_;
    asio::io_context io_{1};
    core::Clock clock_;
    core::Deadlines deadlines_{io_, clock_};
    cells::Map map_;
    std::vector<Broker> brokers_;
    Process keeper_;
    int keeper_link_ = 0, keeper_control_ = 0;
    std::optional<Lists> lists_;
    Weather weather_;
    std::optional<DatagramRelay> datagrams_;
    std::vector<std::unique_ptr<StreamRelay>> streams_; // by broker and node, where there is a relay
    std::vector<std::map<std::string, Micros>> keys_;   // by cell
    std::vector<std::unique_ptr<EmulatedNode>> nodes_;
    std::vector<Volume> volumes_;
    std::unordered_map<std::uint64_t, int> volume_numbers_;
    std::vector<Drawn> drawn_;
    std::unordered_set<std::string> charged_;       // ids that have reached a node
    std::unordered_map<std::string, Micros> tries_; // by id: when its client first asked
    std::optional<Oracle> oracle_;
    Micros start_ = 0;
    int open_ = 0, moves_refused_ = 0, moves_lost_ = 0, busy_ = 0;
    double completed_before_ = 0, undone_before_ = 0; // by keepers that were killed
    std::uint64_t last_id_ = 0;
    std::map<std::string, double> metrics_;
};

} // namespace marblewood::lab
