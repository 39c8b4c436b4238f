#include "lab/scale/fleet_run.hpp"

#include "config/config.hpp"
#include "lab/helpers.hpp"
#include "lab/lists.hpp"
#include "lab/relay.hpp"
#include "lab/scale/fleet_layout.hpp"
#include "lab/scale/observations.hpp"
#include "lab/scale/process_usage.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <fstream>
#include <sys/wait.h>

namespace marblewood::lab::scale {
namespace {

constexpr Micros kLook = 200'000;         // us between looks at whether the fleet is up
constexpr Micros kUpWithin = 120'000'000; // us for it to come up
constexpr Micros kSettle = 4'000'000;     // us from then until the first phase: one watch, and a little
constexpr Micros kQuiet = 8'000'000;      // us after the last phase, for changes and reports on their way
constexpr Micros kAskWithin = 2'000'000;  // us for a distributor to tell its figures

struct Counters { // of the whole fleet at one time
    Micros at = 0;
    double hollow_cpu_s = 0, distributor_cpu_s = 0, worst_distributor_cpu_s = 0, source_cpu_s = 0;
    double source_calls = 0, source_sent = 0, source_received = 0;
    double distributor_sent = 0, distributor_calls = 0;
};

std::vector<Adoption> read_adoptions(const Json::Value &pairs) {
    std::vector<Adoption> adoptions;
    for (Json::ArrayIndex n = 0; n + 1 < pairs.size(); n += 2)
        adoptions.push_back({pairs[n].asInt64(), pairs[n + 1].asInt64()});
    return adoptions;
}

// A loop's coroutines refer to the run for as long as the loop exists, so it is never destroyed.
class FleetRun {
public:
    FleetRun(const FleetPlan &plan, std::uint64_t seed, std::filesystem::path folder)
        : plan_(plan), size_(plan.size), source_(io_, deadlines_, plan.size, seed),
          cut_until_(static_cast<std::size_t>(plan.size.regions)),
          layout_(plan, seed, std::move(folder), source_.port(), source_.whole(),
                  [this](int region) { return parent_port(region); }) {
        if (size_.documents)
            publish_document();
    }

    Figures run() {
        asio::co_spawn(io_, main(), [this](const std::exception_ptr &error) {
            failure_ = error;
            io_.stop();
        });
        io_.run();
        for (BrokerHost &host : layout_.hosts)
            host.process.kill();
        for (DistributorHost &distributor : layout_.distributors)
            distributor.process.kill();
        rethrow(failure_);
        return figures_;
    }

private:
    int parent_port(int region);
    void publish_document();
    asio::awaitable<void> documents(double per_second, Micros until);

    asio::awaitable<void> main();
    asio::awaitable<void> await_distributors();
    asio::awaitable<void> await_brokers(int count);
    asio::awaitable<void> ask(DistributorHost &distributor);
    asio::awaitable<int> callers();
    asio::awaitable<void> phase(const Phase &phase);
    asio::awaitable<void> changes(double per_second, Micros until);
    asio::awaitable<void> event(Event event);
    asio::awaitable<Counters> count();
    void start(BrokerHost &host);
    void stop_hosts();
    int brokers_up() const;
    void read_records();
    void count_phase(const Phase &phase, const Counters &before, const Counters &after);
    void count_documents(const std::function<void(const std::string &, const Latencies &)> &put);
    void count_all();

    const FleetPlan &plan_;
    const FleetSize &size_;
    asio::io_context io_{1};
    core::Clock clock_;
    core::Deadlines deadlines_{io_, clock_};
    ListSource source_;
    std::vector<Micros> cut_until_;                      // by region
    std::map<int, std::unique_ptr<StreamRelay>> relays_; // by region: the way to discovery, if it may be cut
    FleetLayout layout_;
    std::vector<Outage> outages_;
    std::vector<Published> documents_; // versions of the configuration
    std::vector<BrokerRecord> records_;
    struct Played {
        Phase phase;
        Micros from = 0, until = 0;
    };
    std::vector<Played> played_;
    std::map<std::string, double> memory_kb_; // before and after, by host's result file
    Figures figures_;
    std::exception_ptr failure_;
};

int FleetRun::parent_port(int region) {
    const auto is_cut = [](const Event &event) { return event.kind == Event::Kind::CutRegion; };
    if (std::none_of(plan_.events.begin(), plan_.events.end(), is_cut))
        return source_.port();
    auto &relay = relays_[region];
    if (relay)
        return relay->port();
    const auto silent = [this, region] {
        return clock_.now() < cut_until_[static_cast<std::size_t>(region)];
    };
    relay = std::make_unique<StreamRelay>(io_, deadlines_, source_.port(), silent);
    relay->start();
    return relay->port();
}

void FleetRun::publish_document() {
    const distribution::Revision version = documents_.empty() ? 1 : documents_.back().revision + 1;
    Json::Value root;
    root["version"] = static_cast<Json::Int64>(version);
    root["operations"]["cordons"].append(fmt::format("s-cordoned-{}", version));
    std::ofstream(layout_.document_file()) << root.toStyledString();
    documents_.push_back({version, clock_.now(), "", 1});
    if (layout_.distributors.front().process.pid > 0)
        layout_.distributors.front().process.signal(SIGHUP);
}

asio::awaitable<void> FleetRun::documents(double per_second, Micros until) {
    if (per_second <= 0)
        co_return;
    const Micros gap = micros(1 / per_second);
    for (Micros next = clock_.now() + gap / 2; next < until; next += gap) {
        co_await sleep_for(io_, next - clock_.now());
        publish_document();
    }
}

void FleetRun::start(BrokerHost &host) {
    host.started = clock_.now();
    host.process.start();
}

int FleetRun::brokers_up() const {
    int all = 0;
    for (const BrokerHost &host : layout_.hosts)
        if (host.started > 0)
            all += static_cast<int>(host.positions.size());
    return all;
}

asio::awaitable<void> FleetRun::main() {
    for (DistributorHost &distributor : layout_.distributors)
        distributor.process.start();
    co_await await_distributors();
    for (BrokerHost &host : layout_.hosts)
        if (!host.late)
            start(host);
    co_await await_brokers(brokers_up());
    co_await sleep_for(io_, kSettle);
    const Micros begin = clock_.now();
    for (const Event &event : plan_.events)
        asio::co_spawn(io_, this->event(event), [this](const std::exception_ptr &error) {
            if (error)
                failure_ = error, io_.stop();
        });
    for (const Phase &phase : plan_.phases)
        co_await this->phase(phase);
    figures_["seconds"] = static_cast<double>(clock_.now() - begin) / 1e6;
    if (!plan_.events.empty() || size_.documents)
        co_await sleep_for(io_, kQuiet);
    for (DistributorHost &distributor : layout_.distributors)
        co_await ask(distributor);
    stop_hosts();
    read_records();
    count_all();
}

asio::awaitable<void> FleetRun::await_distributors() {
    const Micros until = clock_.now() + kUpWithin;
    for (DistributorHost &distributor : layout_.distributors)
        for (;;) {
            co_await ask(distributor);
            if (distributor.told["members"] >= size_.nodes)
                break;
            if (clock_.now() > until)
                throw std::runtime_error(distributor.entry.name + " does not come up");
            co_await sleep_for(io_, kLook);
        }
}

asio::awaitable<void> FleetRun::await_brokers(int count) {
    const Micros until = clock_.now() + kUpWithin;
    while (co_await callers() < count) {
        if (clock_.now() > until)
            throw std::runtime_error(fmt::format("not all of {} brokers come up", count));
        co_await sleep_for(io_, kLook);
    }
}

asio::awaitable<int> FleetRun::callers() {
    if (layout_.distributors.empty())
        co_return static_cast<int>(source_.delivery().callers());
    double all = 0;
    for (DistributorHost &distributor : layout_.distributors) {
        co_await ask(distributor);
        all += distributor.told["callers"];
    }
    co_return static_cast<int>(all);
}

// What does not answer keeps the figures that it told last.
asio::awaitable<void> FleetRun::ask(DistributorHost &distributor) {
    asio::ip::tcp::socket socket(io_);
    const Micros until = clock_.now() + kAskWithin;
    if (co_await net::dial(socket, loopback(distributor.control), until, deadlines_))
        co_return;
    const auto response = co_await net::http::exchange(
        socket, "GET /admin/stats HTTP/1.1\r\nHost: distributor\r\n\r\n", until, deadlines_);
    if (!response || response->status != 200)
        co_return;
    std::istringstream lines(response->body);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t dot = line.find('.'), colon = line.find(':');
        distributor.told[line.substr(dot + 1, colon - dot - 1)] = std::atof(line.c_str() + colon + 1);
    }
}

asio::awaitable<void> FleetRun::phase(const Phase &phase) {
    const Counters before = co_await count();
    const Micros until = clock_.now() + micros(phase.seconds);
    asio::co_spawn(io_, documents(phase.documents_per_second, until), asio::detached);
    co_await changes(phase.changes_per_second, until);
    const Counters after = co_await count();
    played_.push_back({phase, before.at, after.at});
    count_phase(phase, before, after);
}

asio::awaitable<void> FleetRun::changes(double per_second, Micros until) {
    const Micros gap = per_second > 0 ? micros(1 / per_second) : 0;
    Micros next = clock_.now() + gap / 2;
    while (gap > 0 && next < until) {
        co_await sleep_for(io_, next - clock_.now());
        source_.change_one();
        next += gap;
    }
    co_await sleep_for(io_, until - clock_.now());
}

asio::awaitable<void> FleetRun::event(Event event) {
    using Kind = Event::Kind;
    co_await sleep_for(io_, micros(event.at));
    const auto number = static_cast<std::size_t>(event.index);
    switch (event.kind) {
    case Kind::KillDistributor:
        layout_.distributors[number].cpu_before_s += usage_of(layout_.distributors[number].process.pid).cpu_s;
        layout_.distributors[number].process.kill();
        co_await sleep_for(io_, micros(event.length));
        layout_.distributors[number].process.start();
        break;
    case Kind::PauseDistributor:
        layout_.distributors[number].process.signal(SIGSTOP);
        co_await sleep_for(io_, micros(event.length));
        layout_.distributors[number].process.signal(SIGCONT);
        break;
    case Kind::StartZone:
        for (BrokerHost &host : layout_.hosts)
            if (host.late && host.started == 0)
                start(host);
        break;
    case Kind::RemoveNodes:
        source_.remove(event.count, event.name);
        co_await sleep_for(io_, micros(event.length));
        source_.bring_back(event.name);
        break;
    case Kind::CutRegion:
        cut_until_[number] = clock_.now() + micros(event.length);
        outages_.push_back({FleetLayout::region_name(event.index), clock_.now(), cut_until_[number]});
        break;
    }
}

asio::awaitable<Counters> FleetRun::count() {
    Counters now;
    for (DistributorHost &distributor : layout_.distributors) {
        co_await ask(distributor);
        const double cpu = distributor.cpu_before_s + usage_of(distributor.process.pid).cpu_s;
        now.distributor_cpu_s += cpu;
        now.worst_distributor_cpu_s = std::max(now.worst_distributor_cpu_s, cpu);
        now.distributor_sent += distributor.told["sent_bytes"];
        now.distributor_calls += distributor.told["calls"];
    }
    for (const BrokerHost &host : layout_.hosts)
        now.hollow_cpu_s += usage_of(host.process.pid).cpu_s;
    now.at = clock_.now();
    now.source_cpu_s = usage_of(::getpid()).cpu_s;
    now.source_calls = static_cast<double>(source_.delivery().metrics().calls);
    now.source_sent = static_cast<double>(source_.figures().sent_bytes);
    now.source_received = static_cast<double>(source_.figures().received_bytes);
    co_return now;
}

void FleetRun::count_phase(const Phase &phase, const Counters &before, const Counters &after) {
    const double seconds = static_cast<double>(after.at - before.at) / 1e6;
    const auto put = [&](const char *name, double from, double to, double by) {
        figures_[fmt::format("{}.{}", phase.name, name)] = (to - from) / seconds / by;
    };
    const double brokers = brokers_up();
    put("broker.cpu_percent", before.hollow_cpu_s * 100, after.hollow_cpu_s * 100, brokers);
    put("discovery.cpu_percent", before.source_cpu_s * 100, after.source_cpu_s * 100, 1);
    put("discovery.calls_per_s", before.source_calls, after.source_calls, 1);
    put("discovery.sent_bytes_per_s", before.source_sent, after.source_sent, 1);
    put("discovery.received_bytes_per_s", before.source_received, after.source_received, 1);
    put("discovery.calls_per_broker_s", before.source_calls, after.source_calls, brokers);
    put("discovery.bytes_per_broker_s", before.source_sent + before.source_received,
        after.source_sent + after.source_received, brokers);
    if (layout_.distributors.empty())
        return;
    const double count = static_cast<double>(layout_.distributors.size());
    put("distributor.cpu_percent", before.distributor_cpu_s * 100, after.distributor_cpu_s * 100, count);
    put("distributor.sent_bytes_per_s", before.distributor_sent, after.distributor_sent, count);
    put("distributor.calls_per_s", before.distributor_calls, after.distributor_calls, count);
}

// Memory is read before the processes end; hollow ones then write what they saw.
void FleetRun::stop_hosts() {
    double kb = 0, distributor_kb = 0, cpu_s = 0;
    for (const BrokerHost &host : layout_.hosts) {
        const ProcessUsage usage = usage_of(host.process.pid);
        memory_kb_[host.result] = static_cast<double>(usage.memory_kb);
        kb += static_cast<double>(usage.memory_kb);
        cpu_s += usage.cpu_s;
    }
    for (const DistributorHost &distributor : layout_.distributors)
        distributor_kb =
            std::max(distributor_kb, static_cast<double>(usage_of(distributor.process.pid).memory_kb));
    figures_["broker.process_kb"] = kb / size_.brokers;
    figures_["broker.cpu_s"] = cpu_s / size_.brokers;
    if (!layout_.distributors.empty())
        figures_["distributor.memory_kb"] = distributor_kb;
    figures_["discovery.memory_kb"] = static_cast<double>(usage_of(::getpid()).memory_kb);
    for (const BrokerHost &host : layout_.hosts)
        host.process.signal(SIGTERM);
    for (BrokerHost &host : layout_.hosts)
        if (host.process.pid > 0)
            ::waitpid(std::exchange(host.process.pid, -1), nullptr, 0);
}

void FleetRun::read_records() {
    double hollow_kb = 0;
    for (const BrokerHost &host : layout_.hosts) {
        if (host.result.empty())
            continue;
        const Json::Value root = config::parse(config::read_text(host.result));
        hollow_kb += memory_kb_[host.result] - root["memory_before_kb"].asDouble();
        std::size_t number = 0;
        for (const Json::Value &row : root["brokers"]) {
            BrokerRecord record;
            record.name = row["name"].asString();
            record.region = layout_.broker_region(host.positions[number++]);
            record.started = host.started;
            record.first_sample = root["first_sample_us"].asInt64();
            record.went_back = row["went_back"].asInt();
            record.calls = row["calls"].asDouble();
            record.failed = row["failed"].asDouble();
            record.datagrams = row["datagrams"].asDouble();
            record.adopted = read_adoptions(row["adopted"]);
            record.configured = read_adoptions(row["configured"]);
            for (const Json::Value &bytes : row["traffic"])
                record.traffic.push_back(bytes.asDouble());
            records_.push_back(std::move(record));
        }
    }
    if (!records_.empty())
        figures_["broker.memory_kb"] = hollow_kb / static_cast<double>(records_.size());
}

void FleetRun::count_documents(const std::function<void(const std::string &, const Latencies &)> &put) {
    const auto later = [](const Published &version) { return version.revision > 1; };
    put("document", latencies(documents_, records_, &BrokerRecord::configured, {}, later));
    const auto &told = layout_.distributors.front().told;
    const auto figure = [&told](const char *name) {
        const auto at = told.find(name);
        return at == told.end() ? 0.0 : at->second;
    };
    figures_["document.reported"] = figure("documents.brokers");
    figures_["document.reported_in_force"] = figure("documents.brokers_with_version");
}

void FleetRun::count_all() {
    if (!layout_.distributors.empty()) {
        double peak = 0, whole = 0, put_off = 0, behind = 0;
        for (DistributorHost &distributor : layout_.distributors) {
            peak = std::max(peak, distributor.told["peak_second_bytes"]);
            whole += distributor.told["answers_whole"];
            put_off += distributor.told["put_off"];
            behind += distributor.told["answers_behind"];
        }
        figures_["distributor.peak_second_bytes"] = peak;
        figures_["distributor.wholes"] = whole;
        figures_["distributor.put_off"] = put_off;
        figures_["distributor.behind"] = behind;
    }
    figures_["list.whole_bytes"] = static_cast<double>(source_.whole().size());
    figures_["discovery.peak_second_bytes"] = static_cast<double>(source_.figures().peak_second_bytes);
    if (records_.empty())
        return;
    const auto sum = [this](const auto &of) {
        double all = 0;
        for (const BrokerRecord &record : records_)
            all += of(record);
        return all;
    };
    figures_["brokers"] = static_cast<double>(records_.size());
    figures_["revisions.back"] = sum([](const BrokerRecord &r) { return r.went_back; });
    figures_["broker.datagrams"] = sum([](const BrokerRecord &r) { return r.datagrams; });
    figures_["broker.failed_calls"] = sum([](const BrokerRecord &r) { return r.failed; });
    for (const Played &played : played_) {
        const Rates found = rates(records_, played.from, played.until);
        figures_[played.phase.name + ".broker.bytes_per_s"] = found.mean;
        figures_[played.phase.name + ".broker.worst_10s_bytes_per_s"] = found.worst_window;
    }
    const auto put = [&](const std::string &name, const Latencies &found) {
        if (found.counted == 0 && found.missed == 0)
            return;
        figures_[name + ".worst_s"] = found.worst_s;
        figures_[name + ".median_s"] = found.median_s;
        figures_[name + ".missed"] = found.missed;
        fmt::print("  {}: {} held, worst {:.3f} s ({}), median {:.3f} s, {} missed\n", name, found.counted,
                   found.worst_s, found.worst_broker, found.median_s, found.missed);
    };
    const auto &changes = source_.published();
    const Micros first = changes.front().at;
    const auto after_first = [first](const Published &change) { return change.at > first; };
    put("change", latencies(changes, records_, &BrokerRecord::adopted, outages_, after_first));
    if (size_.documents)
        count_documents(put);
    for (const Event &event : plan_.events) {
        const auto of_event = [&event](const Published &change) { return change.event == event.name; };
        put("event." + event.name, latencies(changes, records_, &BrokerRecord::adopted, outages_, of_event));
    }
}

} // namespace

Figures play(const FleetPlan &plan, std::uint64_t seed, const std::filesystem::path &folder) {
    check_load(plan, machine_memory_mb());
    auto *const run = new FleetRun(plan, seed, folder);
    return run->run();
}

} // namespace marblewood::lab::scale
