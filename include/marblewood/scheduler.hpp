// The interface of marblewood: settings, events, actions and the class that decides. No decision and no
// tuned value stands here; those are in src/policy.cpp.
//
// Calling contract. One Scheduler belongs to one owner and is called from one thread. `now` never goes back.
// Events are handed over in the order in which they came; the actions appended by a call take effect at that
// call's `now`, in the order in which they stand. Actions are appended, never removed. A Scheduler knows only
// what its settings and events say: it reads no clock, does no I/O and starts no thread, and the same
// settings and events give the same actions.
//
// Mistakes. Settings that contradict themselves or lack what is required: the constructor throws
// std::invalid_argument, which names the setting. A request with an unknown class or plan, or with an id that
// is still open: std::invalid_argument from handle(), and nothing has changed. Every other event that speaks
// of something this Scheduler was never given (a request, attempt, node or timer) is ignored.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marblewood {

using Micros = std::int64_t; // a point in time or a length of time, in microseconds

enum class RequestId : std::uint64_t {};
enum class NodeId : std::uint32_t {};
enum class ShardId : std::int64_t {};
enum class VolumeId : std::uint64_t {};
enum class DataKey : std::uint64_t {};
enum class ZoneId : std::uint32_t {};

// What a repeat of a request may do. Keyed: repeats are dropped within a group of nodes, for a while.
enum class Effect { Safe, Keyed, Unsafe };
enum class Group { All, Zone, Cell };

struct ClassSettings {
    Micros aim = 0;      // answered within this: full worth
    Micros deadline = 0; // how long a client waits, over all its tries
    double worth = 1;
    double late_worth = 0; // part of the worth after the aim
    Effect effect = Effect::Safe;
    Group group = Group::All;
    Micros repeat_window = 0; // Keyed: how long repeats are dropped, from the first send that may have run
    bool in_order = false;    // requests with one key run one at a time, in the order taken
    bool stream = false;
    std::string name = {}; // as the settings call it
};

// A plan's figures hold for each volume on it, over all hosts and nodes together.
struct PlanSettings {
    double rate = 0;    // units a second that such a volume is sized for
    double reserve = 0; // units a second that earn full worth
    double weight = 1;  // for the share beyond the reserves
    double price = 1;   // factor on the worth
    double limit = 0;   // units a second; 0: no limit
    double limit_burst = 0;
    double limit_slack = 0;
    std::string name = {};
};

struct Settings {
    int hosts = 1;    // instances of the scheduler
    int position = 0; // this one's number among them
    std::uint64_t seed = 0;
    std::vector<ClassSettings> classes;
    std::vector<PlanSettings> plans;
    Micros period = 1000;      // shortest gap between two calls' times
    std::size_t most_held = 0; // requests that wait here, beyond which the least worth is refused; 0: any

    // What is allowed.
    bool ask_for_list = false; // the list comes only when asked for: its owner's business, not the module's
    bool cancel = false;
    bool probes = false;
    bool peers = false;
    bool lends = false; // units of limits to other hosts; of use where nodes have room
    bool second_copies = false;
    bool retry_after = false;
    int max_attempts = 1;
    Micros max_retry_after = 0;
    Micros connect_timeout = 0; // a connection not up by then has failed
    Micros idle_close = 0;      // nodes close connections left idle for so long; 0: never

    // The figures of the rules. An absent rule has its figures at 0.
    Micros answer_slack = 0; // a final answer this long after the deadline still counts
    Micros drain_grace = 0;
    Micros ask_within = 0;
    Micros fall_window = 0; // cold nodes: pressure is added up over this
    Micros warm_after = 0;  // and a node is warm after this
    double cold_from = 1;   // part of its capacity at the start
    Micros order_settle = 0;
    double budget_free = 0;
    double budget_share = 0;
    Micros budget_window = 0; // 0: no budget of attempts

    // What is known of the nodes and the accounting.
    double cold_units = 0; // units a fall_window that a node just started bears from all hosts; 0: not stated
    double most_units = 1;
    double mean_units = 1;
    double share_worth = 1;
    double spare_worth = 1;
    Micros meter = 0;             // period of the meter; 0: none
    bool tells_elsewhere = false; // answers tell what other hosts got
};

enum class NodeState { Ready, Draining, Gone };

struct NodeEntry {
    NodeId node{};
    ShardId shard{};
    ZoneId zone{};
    NodeState state = NodeState::Ready;
    Micros started = 0;      // 0: long ago
    bool returned = false;   // put back by hand: it may have started just now, unseen
    std::uint64_t named = 0; // the node, by a number that all hosts have for it, from its id
};

// Events.

struct ListUpdate {
    enum class Kind { Changes, Full, Saved };
    Kind kind = Kind::Full;
    std::vector<NodeEntry> entries;
};

struct RequestArrived {
    RequestId id{};
    int cls = 0;
    int plan = 0;
    VolumeId volume{};
    std::optional<DataKey> key;
    std::optional<ShardId> shard; // empty: a new object, which any node may take
    Micros time_left = 0;
    double units = 1;
    int hosts = 1; // hosts through which the volume's requests come
    bool write = false;
    bool retry = false;
};

enum class Status { Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot };

// What a node says of its load; each figure may be missing, late or noisy.
struct LoadReport {
    std::optional<double> busy;     // part of its cores in use
    std::optional<double> inflight; // requests that it holds
    std::optional<double> queue;    // requests that wait there
    std::optional<Micros> service;  // recent time of a request in work, without waiting
    std::optional<double> rate;     // requests served a second
    std::optional<double> failures; // errors a second
    bool operator==(const LoadReport &) const = default;
};

struct AttemptEnded {
    RequestId id{};
    int attempt = 0;
    Status status = Status::Ok;
    Micros latency = 0;
    bool closed = false;  // the request has ended
    int used = 0;         // 0: not told; else 1 + percent of the plan's rate that the volume got everywhere
    double elsewhere = 0; // units that the shard served for the volume through other hosts, since last told
    std::optional<LoadReport> report;
};

struct StreamStarted {
    RequestId id{};
    int attempt = 0;
};

struct ClientLeft {
    RequestId id{};
};

struct Withdraw { // the request has to have its final answer now, though its client is there
    RequestId id{};
};

struct TimerDue {
    std::uint64_t token = 0;
};

struct ProbeEnded {
    NodeId node{};
    Status status = Status::Ok;
    Micros latency = 0;
    std::optional<LoadReport> report;
};

struct PeerMessage {
    int from = 0;
    std::string data;
};

// What one process leaves to its successor, so that limits, bounds and the guards on cold nodes hold over
// both. The stores of a volume that is known are set to what is told.
struct Legacy {
    struct Store { // what this host may still send for a volume within its plan's limit, and its reserve
        VolumeId volume{};
        double units = 0;
        std::optional<double> reserve = {}; // empty: as for a volume never seen
        double lent = 0;                    // units that others may still spend of this host's part
    };
    struct Spent {
        Micros at = 0;
        double units = 0;
        int layer = 0;
    };
    struct Sight { // a node: its last start, what it was sent since, how its latencies add up
        NodeId node{};
        Micros since = 0;
        bool declared = false; // by the list
        std::vector<Spent> spent = {};
        double sum = 0, weight = 0;
        Micros stamp = 0;
    };
    Micros born = 0;
    std::vector<Store> stores;
    std::vector<Sight> nodes;
};

struct Retire { // a successor has the legacy: only what is held is still sent; or, not `on`, it has gone
    bool on = true;
};

using Event = std::variant<ListUpdate, RequestArrived, AttemptEnded, StreamStarted, ClientLeft, TimerDue,
                           ProbeEnded, PeerMessage, Legacy, Retire, Withdraw>;

// Actions.

struct Send { // attempts of a request are numbered 0, 1, 2, ... in the order of their Sends
    RequestId id{};
    NodeId node{};
    Micros expires = 0;  // the time at which to give the attempt up
    Micros start_by = 0; // a keyed repeat: begun later it might run again; 0: nothing hangs on it
};
struct Refuse { // final: nothing was done, trying again is harmless
    RequestId id{};
    Micros retry_after = 0;
};
struct Fail { // final: promises nothing
    RequestId id{};
};
struct Cancel {
    RequestId id{};
    int attempt = 0;
};
struct Probe {
    NodeId node{};
};
struct CloseIdle {
    NodeId node{};
};
struct SetTimer {
    std::uint64_t token = 0;
    Micros delay = 0;
};
struct TellPeers {
    std::optional<int> peer; // empty: all
    std::string data;
};
struct Log {
    std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, CloseIdle, SetTimer, TellPeers, Log>;

// What cold nodes bear, granted by allocators, since the start (src/overload/cold_allocator.hpp).
struct GrantFigures {
    std::uint64_t asked = 0;   // requests to an allocator
    std::uint64_t given = 0;   // grants of this broker as an allocator
    std::uint64_t taken = 0;   // that came in time
    std::uint64_t used = 0;    // sends that spent some of one that was taken
    std::uint64_t wasted = 0;  // that came too late, or were not spent whole in their time
    std::uint64_t strange = 0; // datagrams that made no sense
};

// Units of plans' limits lent between hosts, since the start (src/overload/limit_loans.hpp).
struct LoanFigures {
    std::uint64_t asked = 0;     // calls for units
    std::uint64_t met = 0;       // words to the meeting places of volumes
    double lent = 0, taken = 0;  // units given away; units that came in time
    double used = 0, wasted = 0; // of those: spent, or not in their time
    std::uint64_t strange = 0;   // datagrams that made no sense
};

// Requests refused before any attempt, by what stood in the way at the end.
struct ShedFigures {
    std::uint64_t limit = 0;    // the plan's limit, as far as this host may spend of it
    std::uint64_t no_node = 0;  // no node of the shard is listed as ready
    std::uint64_t distrust = 0; // those that are do not answer, and get trials alone
    std::uint64_t cold = 0;     // what a node that has just started bears from this host
    std::uint64_t bound = 0;    // the bound on requests out
    std::uint64_t worth = 0;    // better work would have been displaced
    std::uint64_t held = 0;     // too many waited here, and this was worth the least
};

struct OverloadFigures {
    GrantFigures grants;
    LoanFigures loans;
    ShedFigures shed;
};

class Scheduler {
public:
    explicit Scheduler(const Settings &settings);
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    // Takes one event and appends what is to be done.
    void handle(Micros now, const Event &event, std::vector<Action> &actions);

    // How much it holds, for tests and for a caller's own accounts.
    struct Held {
        std::size_t requests = 0, attempts_out = 0, keys = 0, volumes = 0, nodes = 0;
    };
    Held held() const;
    // Whether an event about this request still means anything: it is open, or an attempt of it has no
    // outcome.
    bool knows(RequestId id) const;
    // The bound of a node's requests out; empty where the node is not known.
    std::optional<double> bound(NodeId node) const;
    OverloadFigures overload() const;
    // Whether a node that is known gets no requests as things stand, or only trials.
    bool avoids(NodeId node) const;
    // For a successor; a Retire belongs right behind it. With a volume: its stores alone, as far as they are
    // known.
    Legacy legacy(std::optional<VolumeId> only = {}) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace marblewood
