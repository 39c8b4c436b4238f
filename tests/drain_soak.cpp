/// \file
/// Nodes that drain, go and come back around random hot restarts, each generated from a seed: discovery that
/// answers some connections late or not at all, fails or moves to another address, cordons, series of
/// signals, processes that are stopped for a while, a crowd of clients. From the end of the grace on, no node
/// gets a new request while it drains or is gone; no request is lost or answered too late. Run with the first
/// seed and the number of seeds; prints a line for each, and the failed ones last.
#include "faults/soak_parts.hpp"
#include "faults/timed_nodes.hpp"
#include "faults/traced_discovery.hpp"
#include "scenarios.hpp"

using namespace test;

namespace {

using std::chrono::milliseconds;

constexpr int kNodes = 4;
/// Of all nodes at the most this many drain or are gone at one time.
constexpr int kMaxUnavailable = 2;
/// `drain_grace` of the settings, and the protocol's slack.
constexpr auto kDrainGrace = 250ms + 50ms;
/// What discovery tells while a successor starts binds this long after it has said that it serves.
constexpr auto kBindsAfterYes = 2s;
/// A discovery that the configuration no longer names closes its connections after this time.
constexpr auto kOldDiscoveryCloses = 1500ms;

std::string node_id(int node) {
    return fmt::format("s-{}", node);
}

/// A time in which a second process started beside the first, until it served.
struct Takeover {
    Clock::time_point started;
    Clock::time_point serves;
};

/// A node that drains or is gone, as the list or an operator has it.
struct Unavailability {
    int node = 0;
    int revision = 0;                       ///< of the list; 0: a cordon
    Clock::time_point since;                ///< of a cordon: when it was confirmed
    std::optional<Clock::time_point> until; ///< when it was published that the node is back
};

/// The nodes, and two discovery services that list them. The second has revisions of its own.
class Fleet {
public:
    Fleet(Draw &draw, milliseconds time) {
        std::vector<ListedNode> listed;
        for (int n = 0; n < kNodes; ++n) {
            nodes_.push_back(
                std::make_unique<TimedNode>(time, static_cast<unsigned>(draw.between(0, 1 << 30))));
            listed.push_back({node_id(n), nodes_.back()->port()});
        }
        first.emplace(listed);
        second.emplace(listed);
        for (int n = 0; n < kSecondIsAhead; ++n)
            second->publish({listed.front()});
    }
    TimedNode &node(int number) { return *nodes_[static_cast<std::size_t>(number)]; }
    bool has_taken(const std::string &id) const {
        return std::ranges::any_of(nodes_, [&](const auto &node) { return node->has_taken(id); });
    }

    /// Has a node drain, go or come back, as far as enough others are available.
    void change(int number, const std::string &phase) {
        const std::lock_guard lock(mutex_);
        const bool available = phase == "up";
        if (!available && !unavailable_.contains(number) && unavailable_.size() >= kMaxUnavailable)
            return;
        if (available && cordoned_ == number)
            return; // its cordon may still hold
        const auto now = Clock::now();
        if (available)
            node(number).set_draining(false);
        const int revision = first->set_phase(node_id(number), phase);
        second->set_phase(node_id(number), phase);
        if (!available) {
            unavailabilities_.push_back({number, revision, {}, std::nullopt});
            unavailable_.insert(number);
            node(number).set_draining(true);
            return;
        }
        unavailable_.erase(number);
        for (Unavailability &earlier : unavailabilities_)
            if (earlier.node == number && !earlier.until)
                earlier.until = now;
    }
    /// Cordons the node at the process whose operators' port is `control`, for good.
    void cordon(int number, int control) {
        {
            const std::lock_guard lock(mutex_);
            if (unavailable_.contains(number) || unavailable_.size() >= kMaxUnavailable)
                return;
            unavailable_.insert(number);
            cordoned_ = number;
        }
        const bool confirmed = admin_call(control, "POST", "cordon", node_id(number)).first == 200;
        const std::lock_guard lock(mutex_);
        if (confirmed)
            unavailabilities_.push_back({number, 0, Clock::now(), std::nullopt});
    }
    /// The time by which the broker was told that a node is unavailable; empty if it was not told.
    std::optional<Clock::time_point> told(const Unavailability &what,
                                          const std::vector<Takeover> &takeovers) const {
        std::optional<Clock::time_point> at = what.since;
        if (what.revision > 0) {
            at = first->first_written(what.revision);
            const auto by_second = second->first_written(what.revision + kSecondIsAhead);
            if (by_second && (!at || *by_second < *at))
                at = by_second;
        }
        for (const Takeover &takeover : takeovers)
            if (at && what.revision > 0 && *at >= takeover.started && *at < takeover.serves + kBindsAfterYes)
                at = takeover.serves + kBindsAfterYes;
        return at;
    }
    /// What nodes got while they were unavailable.
    struct Findings {
        std::string violations;      ///< describes the requests after the grace
        milliseconds last_request{}; ///< the longest time from when a node counts as told to a request
    };
    Findings findings(const std::vector<Takeover> &takeovers) const {
        Findings found;
        for (const Unavailability &what : unavailabilities_) {
            const auto told_at = told(what, takeovers);
            if (!told_at)
                continue;
            const auto until = what.until.value_or(Clock::time_point::max());
            const auto &node = *nodes_[static_cast<std::size_t>(what.node)];
            for (const auto arrival : node.arrivals(*told_at, until))
                found.last_request = std::max(found.last_request,
                                              std::chrono::duration_cast<milliseconds>(arrival - *told_at));
            const std::size_t late = node.arrivals(*told_at + kDrainGrace, until).size();
            if (late > 0)
                found.violations += fmt::format(" {} late requests at {} (revision {});", late,
                                                node_id(what.node), what.revision);
        }
        return found;
    }
    std::size_t changes() const { return unavailabilities_.size(); }
    std::optional<TracedDiscovery> first, second;

private:
    static constexpr int kSecondIsAhead = 5;

    std::mutex mutex_;
    std::vector<std::unique_ptr<TimedNode>> nodes_;
    std::set<int> unavailable_;
    std::optional<int> cordoned_;
    std::vector<Unavailability> unavailabilities_;
};

/// An action at a time of its own, counted from the beginning of a phase.
struct Event {
    milliseconds at;
    std::function<void()> run;
};

/// Changes of nodes from when a successor is started, most of them while its predecessor still serves.
std::vector<Event> draw_node_changes(Draw &draw, Fleet &fleet) {
    std::vector<Event> events;
    const auto add = [&](int at_ms, int node, const char *phase) {
        events.push_back({milliseconds(at_ms), [&fleet, node, phase] { fleet.change(node, phase); }});
    };
    for (int n = draw.between(1, 4); n > 0; --n) {
        const int node = draw.between(0, kNodes - 1);
        int at = draw.between(0, draw.of({300, 600, 900, 2'500}));
        add(at, node, "draining");
        if (draw.one_in(2))
            add(at += draw.between(100, 1'500), node, "removed");
        if (draw.one_in(3))
            add(at + draw.between(500, 2'500), node, "up");
    }
    return events;
}

/// Draws and begins a fault of discovery just before a successor is started. Returns its end as an event.
Event begin_discovery_fault(Draw &draw, TracedDiscovery &discovery) {
    discovery.delay_answers(milliseconds(draw.of({0, 0, 20, 150, 300})));
    switch (draw.between(1, 6)) {
    case 1:
    case 2:
    case 3: // the successor's calls wait
        discovery.answer_connections_before(discovery.connections() + 1);
        break;
    case 4: // the predecessor's calls wait
        discovery.answer_connections_after(discovery.connections());
        break;
    case 5:
        discovery.fail_calls(draw.between(1, 5), draw.one_in(2));
        break;
    default:
        break;
    }
    return {milliseconds(draw.of({500, 3'500, 5'500})), [&] { discovery.answer_all_connections(); }};
}

/// Runs events in a thread of its own.
class EventThread {
public:
    explicit EventThread(std::vector<Event> events)
        : events_(std::move(events)), thread_([this] {
              std::ranges::stable_sort(events_, {}, &Event::at);
              const auto begin = Clock::now();
              for (const Event &event : events_) {
                  std::this_thread::sleep_until(begin + event.at);
                  event.run();
              }
          }) {}
    ~EventThread() { thread_.join(); }

private:
    std::vector<Event> events_;
    std::thread thread_;
};

LoopOptions draw_client(Draw &draw, int number, int longest_ms) {
    const std::string piece = fmt::format("{:016x}", number);
    LoopOptions options;
    options.piece = options.next_piece = piece;
    options.wait_ms = longest_ms;
    options.writes = draw.one_in(3);
    options.depth = static_cast<std::size_t>(draw.between(1, 3));
    options.pause = std::chrono::microseconds(draw.of({1'000, 5'000, 30'000}));
    options.reconnects = true;
    return options;
}

/// Stops the process for at most 150 ms, the longest pause for which the guarantees are documented.
void pause_process(Draw &draw, const Program &program) {
    program.signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(draw.between(20, 150)));
    program.signal(SIGCONT);
}

/// A broker whose process is replaced.
class ReplacedBroker {
public:
    ReplacedBroker(Draw &draw, Fleet &fleet, int longest_ms)
        : draw_(draw), fleet_(fleet), longest_ms_(longest_ms),
          settings_(with_deadlines(longest_ms, longest_ms)) {
        processes_.push_back(std::make_unique<Program>(*fleet.first, "", settings_, "", 0, "n0",
                                                       Limits{.memory_mb = 32, .sockets = 512}));
    }
    Program &newest() { return *processes_.back(); }
    const std::vector<Takeover> &takeovers() const { return takeovers_; }

    /// Starts a successor, and ends the process before as early as the platform may.
    void replace() {
        std::vector<Event> events = draw_node_changes(draw_, fleet_);
        events.push_back(begin_discovery_fault(draw_, moved_ ? *fleet_.second : *fleet_.first));
        const EventThread changes(std::move(events));
        const auto started = Clock::now();
        Program &old = newest();
        processes_.push_back(std::make_unique<Program>(old));
        takeovers_.push_back({started, Clock::now()});
        std::this_thread::sleep_for(milliseconds(draw_.of({0, 15, 100, 600})));
        if (draw_.one_in(4))
            move_discovery();
        if (draw_.one_in(4))
            fleet_.cordon(draw_.between(0, kNodes - 1), newest().control);
        send_reload_signals();
        old.signal(SIGTERM);
        const auto kill = Clock::now() + kill_after(longest_ms_);
        if (draw_.one_in(3))
            pause_process(draw_, draw_.one_in(2) ? old : newest());
        while (old.running() && Clock::now() < kill)
            std::this_thread::sleep_for(1ms);
        end_by_itself_ = end_by_itself_ && !old.running();
        old.signal(SIGKILL);
        old.exit_code();
    }
    bool ended_by_themselves() const { return end_by_itself_; }
    bool has_moved() const { return moved_; }
    std::string logs() const {
        return processes_.front()->log() + (processes_.size() > 1 ? "---\n" + processes_.back()->log() : "");
    }

private:
    /// Signals to one process or the other; the configuration is the same for both.
    void send_reload_signals() {
        for (int n = draw_.between(0, 3); n > 0; --n)
            processes_[processes_.size() - static_cast<std::size_t>(draw_.between(1, 2))]->signal(SIGHUP);
    }
    void move_discovery() {
        if (std::exchange(moved_, true))
            return;
        processes_.front()->configure(*fleet_.second, settings_);
        processes_[processes_.size() - static_cast<std::size_t>(draw_.between(1, 2))]->signal(SIGHUP);
        closing_old_.emplace([this] {
            std::this_thread::sleep_for(kOldDiscoveryCloses);
            fleet_.first->close();
        });
    }

    Draw &draw_;
    Fleet &fleet_;
    const int longest_ms_;
    const std::string settings_;
    std::vector<std::unique_ptr<Program>> processes_;
    std::vector<Takeover> takeovers_;
    bool end_by_itself_ = true;
    bool moved_ = false;
    std::optional<std::jthread> closing_old_;
};

bool run_replacements(unsigned seed) {
    Draw draw(seed);
    const int longest = draw.of({150, 300, 600, 1500});
    Fleet fleet(draw, milliseconds(draw.between(0, 8)));
    ReplacedBroker broker(draw, fleet, longest);
    RequestTally tally;
    tally.taken_by_node = [&fleet](const std::string &id) { return fleet.has_taken(id); };
    std::list<LoopClient> clients;
    for (int n = draw.between(4, 8); n > 0; --n)
        clients.emplace_back(broker.newest().port, draw_client(draw, n, longest), tally);
    std::optional<RunningCrowd> crowd;
    if (draw.one_in(4))
        crowd.emplace(broker.newest().port, CrowdBehavior{.connections = 150,
                                                          .opening = [] { return begin_of_write(4'000); },
                                                          .read_bytes_per_turn = 1'000,
                                                          .reconnects = true});
    std::this_thread::sleep_for(300ms);
    for (int n = draw.of({1, 1, 2}); n > 0; --n)
        broker.replace();
    std::this_thread::sleep_for(kBindsAfterYes + 500ms);
    const Fleet::Findings findings = fleet.findings(broker.takeovers());
    const ProcessEnd end = run_to_the_kill(draw, broker.newest(), {broker.newest().pid()}, longest);
    crowd.reset();
    clients.clear();
    const bool good = findings.violations.empty() && tally.lost == 0 && tally.late == 0 && tally.served > 0 &&
                      end.in_order() && broker.ended_by_themselves();
    fmt::print("seed {} {}: longest {} takeovers {} unavailable {}{}{}; {}; ended {}; last request {} ms "
               "after told;{}\n",
               seed, good ? "good" : "BAD", longest, broker.takeovers().size(), fleet.changes(),
               broker.has_moved() ? " moved" : "", crowd ? " crowd" : "", tally.summary(), end.manner(),
               findings.last_request.count(), findings.violations);
    if (!good)
        fmt::print("{}\n", broker.logs());
    std::fflush(stdout);
    return good;
}

} // namespace

int main(int argc, char **argv) {
    return run_seeds(run_replacements, argc, argv);
}
