/// \file
/// Test environment of an experiment. Emulated nodes, discovery and clients share one event loop; the brokers
/// and the cell coordinator run as child processes.
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

/// A client request that is generated before the run starts.
struct PlannedRequest : ClientRequest {
    std::string object_id, key;
    std::uint64_t random_bits = 0;
};

/// Runs one experiment. Its coroutines refer to it as long as the event loop exists, so it must never be
/// destroyed; end() kills its processes.
class Testbed {
public:
    /// The parts of the experiment that this run includes; a baseline run leaves some out.
    struct EnabledParts {
        bool surges = true, faults = true, moves = true, talk = true;
    };
    Testbed(const Experiment &experiment, std::uint64_t seed, std::filesystem::path folder,
            EnabledParts parts);
    std::map<std::string, double> run(); // blocks for the duration of the experiment
    void end();
    const std::map<int, std::vector<double>> &series() const { return oracle_->series(); }

private:
    struct Broker {
        std::string name;
        int cell = 0, port = 0, link = 0, peer = 0, control = 0;
        Process process;
        Micros killed_at = 0;
        Micros stopped_at = 0, resumed_at = 0; // start and end of the last pause
        std::list<std::pair<Micros, std::unique_ptr<tcp::socket>>> idle_connections;
    };
    struct Volume {
        VolumeId id{};
        int plan = 0, cell = 0;
        std::vector<int> brokers;
        std::string id_text;
        double busiest = 0;
        Micros shift = 0;
    };
    int broker_for(const Volume &volume, std::uint64_t random_bits) const;

    void create_topology();
    void plan_requests();
    void write_settings();
    std::string member_list(std::size_t broker) const;
    void publish_member_lists();
    asio::awaitable<void> run_experiment();
    asio::awaitable<bool> wait_until_ready();
    asio::awaitable<void> run_request(const PlannedRequest &planned);
    asio::awaitable<void> inject_fault(Fault fault);
    asio::awaitable<void> start_move(double at, std::uint64_t random_bits);
    asio::awaitable<std::optional<std::pair<int, std::string>>>
    call_coordinator(std::string method, std::string path, std::string body);
    asio::awaitable<void> sleep_for(Micros length) { return lab::sleep_for(io_, length); }
    asio::awaitable<void> save_move_counts();
    struct Reply {
        enum class Kind {
            Value,
            Busy,
            Error,
            Refused,
            Broken,
            ClosedWhileIdle,
            TimedOut
        } kind = Kind::TimedOut;
        std::string text;
    };
    asio::awaitable<Reply> send_command(Broker &broker, std::string command, Micros until);

    const Experiment &experiment_;
    const Settings settings_;
    std::uint64_t seed_;
    std::filesystem::path folder_;
    EnabledParts parts_;
    asio::io_context io_{1};
    core::Clock clock_;
    core::Deadlines deadlines_{io_, clock_};
    cells::CellMap map_;
    std::vector<Broker> brokers_;
    Process coordinator_;
    int coordinator_link_ = 0, coordinator_control_ = 0;
    std::optional<EmulatedDiscovery> discovery_;
    NetworkFaults network_faults_;
    std::optional<DatagramRelay> datagrams_;
    // Relay of broker b to node n at index b * nodes_.size() + n; empty unless the experiment sets `relay`.
    std::vector<std::unique_ptr<StreamRelay>> streams_;
    std::vector<std::map<std::string, Micros>> keys_by_cell_;
    std::vector<std::unique_ptr<EmulatedNode>> nodes_;
    std::vector<Volume> volumes_;
    std::unordered_map<std::uint64_t, int> volume_numbers_;
    std::vector<PlannedRequest> planned_requests_;
    std::unordered_set<std::string> charged_ids_; // ids of attempts that have reached a node
    // Maps the id of every client attempt to the planned time of the first attempt of the same request.
    std::unordered_map<std::string, Micros> first_attempt_at_;
    std::optional<Oracle> oracle_;
    Micros start_ = 0;
    int open_requests_ = 0, moves_refused_ = 0, moves_not_begun_ = 0, pending_actions_ = 0;
    double moves_completed_before_ = 0, moves_undone_before_ = 0; // by coordinator processes that were killed
    std::uint64_t last_id_ = 0;
    std::map<std::string, double> metrics_;
};

} // namespace marblewood::lab
