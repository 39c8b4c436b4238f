// What stands round the brokers in an experiment, all on one loop: emulated nodes, discovery, clients; and
// the brokers and the keeper themselves, as processes.
#pragma once

#include "cells/cell_map.hpp"
#include "core/deadlines.hpp"
#include "lab/lists.hpp"
#include "lab/node.hpp"
#include "lab/oracle.hpp"
#include "lab/process.hpp"
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
    cells::CellMap map_;
    std::vector<Broker> brokers_;
    Process keeper_;
    int keeper_link_ = 0, keeper_control_ = 0;
    std::optional<Lists> lists_;
    NetworkFaults network_faults_;
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
