#include "lab/scale/fleet_run.hpp"

#include "config/config.hpp"
#include "lab/helpers.hpp"
#include "lab/lists.hpp"
#include "lab/process.hpp"
#include "lab/relay.hpp"
#include "lab/scale/observations.hpp"
#include "lab/scale/process_usage.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <fstream>
#include <numeric>
#include <sys/wait.h>

namespace marblewood::lab::scale {
namespace {

constexpr Micros kLook = 200'000;         // us between looks at whether the fleet is up
constexpr Micros kUpWithin = 120'000'000; // us for it to come up
constexpr Micros kSettle = 4'000'000;     // us from then until the first phase: one watch, and a little
constexpr Micros kQuiet = 8'000'000;      // us after the last phase, for what is still on its way
constexpr Micros kAskWithin = 2'000'000;  // us for a distributor to tell its figures
constexpr int kRealSockets = 1024;

struct Counters { // of the whole fleet at one time
    Micros at = 0;
    double hollow_cpu_s = 0, distributor_cpu_s = 0, worst_distributor_cpu_s = 0, source_cpu_s = 0;
    double source_calls = 0, source_sent = 0, source_received = 0;
    double distributor_sent = 0, distributor_calls = 0;
};

// A loop's coroutines refer to the run for as long as the loop exists, so it is never destroyed.
class FleetRun {
public:
    FleetRun(const FleetPlan &plan, std::uint64_t seed, std::filesystem::path folder)
        : plan_(plan), size_(plan.size), seed_(seed), folder_(std::move(folder)),
          source_(io_, deadlines_, plan.size, seed) {
        std::filesystem::create_directories(folder_);
        std::ofstream(folder_ / "known.json") << source_.whole();
        for (int n = 0; n < size_.regions; ++n) cut_until_.push_back(0);
        set_up_distributors();
        set_up_brokers();
    }

    Figures run() {
        asio::co_spawn(io_, main(), [this](const std::exception_ptr &error) {
            failure_ = error;
            io_.stop();
        });
        io_.run();
        for (Host &host : hosts_) host.process.kill();
        for (Distributor &distributor : distributors_) distributor.process.kill();
        rethrow(failure_);
        return figures_;
    }

private:
    struct Distributor {
        distribution::Distributor entry;
        int control = 0;
        Process process;
        std::unique_ptr<StreamRelay> parent; // the way to discovery, where a region may be cut off
        std::map<std::string, double> told;
        double cpu_before_s = 0; // of processes that were killed
    };
    struct Host { // a process with brokers
        Process process;
        std::string result;
        std::vector<int> positions;
        bool late = false; // started by an event
        Micros started = 0;
    };

    // Zones of distributors, and of brokers; those that an event starts make up a zone of their own.
    int zone_of_distributor(int number) const { return number % size_.zones; }
    int zone_of_broker(int position) const;
    int region_of(int zone) const { return zone % size_.regions; }
    static std::string zone_name(int zone) { return fmt::format("zone-{}", zone); }
    static std::string region_name(int region) { return fmt::format("region-{}", region); }
    std::string broker_region(int position) const { return region_name(region_of(zone_of_broker(position))); }

    void set_up_distributors();
    void set_up_brokers();
    void write_hollow(Host &host, std::size_t number);
    void write_real(Host &host);
    Json::Value distribution_part(int position) const;

    asio::awaitable<void> main();
    asio::awaitable<void> await_distributors();
    asio::awaitable<void> await_brokers(int count);
    asio::awaitable<void> ask(Distributor &distributor);
    asio::awaitable<int> callers();
    asio::awaitable<void> phase(const Phase &phase);
    asio::awaitable<void> changes(double per_second, Micros until);
    asio::awaitable<void> event(Event event);
    asio::awaitable<Counters> count();
    void start(Host &host);
    void stop_hosts();
    int brokers_up() const;
    void read_records();
    void count_phase(const Phase &phase, const Counters &before, const Counters &after);
    void count_all();

    const FleetPlan &plan_;
    const FleetSize &size_;
    const std::uint64_t seed_;
    const std::filesystem::path folder_;
    asio::io_context io_{1};
    core::Clock clock_;
    core::Deadlines deadlines_{io_, clock_};
    ListSource source_;
    std::vector<Distributor> distributors_;
    std::vector<Host> hosts_;
    std::vector<Micros> cut_until_; // by region
    std::vector<Outage> outages_;
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

int FleetRun::zone_of_broker(int position) const {
    const auto start = std::find_if(plan_.events.begin(), plan_.events.end(),
                                    [](const Event &e) { return e.kind == Event::Kind::StartZone; });
    if (start == plan_.events.end() || size_.zones == 1) return position % size_.zones;
    if (position >= size_.brokers - start->count) return start->index;
    const int zone = position % (size_.zones - 1);
    return zone < start->index ? zone : zone + 1;
}

void FleetRun::set_up_distributors() {
    const bool cuts = std::any_of(plan_.events.begin(), plan_.events.end(),
                                  [](const Event &e) { return e.kind == Event::Kind::CutRegion; });
    for (int n = 0; n < size_.distributors; ++n) {
        Distributor distributor;
        const int port = free_port();
        distributor.control = free_port();
        const int zone = zone_of_distributor(n);
        distributor.entry = {fmt::format("d{}", n),
                             fmt::format("127.0.0.1:{}", port),
                             {zone_name(zone), region_name(region_of(zone))}};
        int parent = source_.port();
        if (cuts) {
            const auto silent = [this, region = static_cast<std::size_t>(region_of(zone))] {
                return clock_.now() < cut_until_[region];
            };
            distributor.parent = std::make_unique<StreamRelay>(io_, deadlines_, parent, silent);
            distributor.parent->start();
            parent = distributor.parent->port();
        }
        Json::Value root;
        root["name"] = distributor.entry.name;
        root["listen"] = distributor.entry.address;
        root["control"] = fmt::format("127.0.0.1:{}", distributor.control);
        root["zone"] = distributor.entry.locality.zone;
        root["region"] = distributor.entry.locality.region;
        Json::Value row;
        row["name"] = "discovery";
        row["address"] = fmt::format("127.0.0.1:{}", parent);
        root["parents"].append(std::move(row));
        const std::string file = folder_ / (distributor.entry.name + ".json");
        std::ofstream(file) << root.toStyledString();
        distributor.process.command = {program_path(), "distribute", file};
        distributor.process.log = folder_ / (distributor.entry.name + ".log");
        distributors_.push_back(std::move(distributor));
    }
}

Json::Value FleetRun::distribution_part(int position) const {
    Json::Value part;
    part["zone"] = zone_name(zone_of_broker(position));
    part["region"] = broker_region(position);
    for (const Distributor &distributor : distributors_) {
        Json::Value row;
        row["name"] = distributor.entry.name;
        row["address"] = distributor.entry.address;
        row["zone"] = distributor.entry.locality.zone;
        row["region"] = distributor.entry.locality.region;
        part["distributors"].append(std::move(row));
    }
    return part;
}

void FleetRun::set_up_brokers() {
    int late = 0;
    for (const Event &event : plan_.events)
        if (event.kind == Event::Kind::StartZone) late += event.count;
    const auto add = [&](int from, int until, bool held_back) {
        const int most = plan_.real ? 1 : size_.per_process;
        for (int first = from; first < until; first += most) {
            Host host;
            host.late = held_back;
            for (int n = first; n < std::min(first + most, until); ++n) host.positions.push_back(n);
            hosts_.push_back(std::move(host));
        }
    };
    add(0, size_.brokers - late, false);
    add(size_.brokers - late, size_.brokers, true);
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        if (plan_.real)
            write_real(hosts_[n]);
        else
            write_hollow(hosts_[n], n);
    }
}

void FleetRun::write_hollow(Host &host, std::size_t number) {
    Json::Value root;
    host.result = folder_ / fmt::format("hollow-{}-result.json", number);
    root["result"] = host.result;
    root["settings"] = plan_.settings;
    root["seed"] = static_cast<Json::Int64>(seed_);
    root["hosts"] = size_.brokers;
    root["discovery"] = fmt::format("127.0.0.1:{}", source_.port());
    if (!distributors_.empty()) root["distribution"] = distribution_part(0);
    if (!plan_.without_list) root["known"] = (folder_ / "known.json").string();
    for (const int position : host.positions) {
        Json::Value row;
        row["position"] = position;
        row["zone"] = zone_name(zone_of_broker(position));
        row["region"] = broker_region(position);
        root["brokers"].append(std::move(row));
    }
    const std::string file = folder_ / fmt::format("hollow-{}.json", number);
    std::ofstream(file) << root.toStyledString();
    host.process.command = {std::filesystem::read_symlink("/proc/self/exe"), "hollow", file};
    host.process.log = folder_ / fmt::format("hollow-{}.log", number);
}

void FleetRun::write_real(Host &host) {
    const int position = host.positions.front();
    Json::Value root;
    root["name"] = fmt::format("n{}", position);
    root["listen"] = fmt::format("127.0.0.1:{}", free_port());
    root["discovery"] = fmt::format("127.0.0.1:{}", source_.port());
    root["seed"] = fmt::format("{:x}", seed_ + static_cast<std::uint64_t>(position));
    root["limits"]["sockets"] = kRealSockets;
    root["settings"] = plan_.settings;
    root["settings"]["instances"] = size_.brokers;
    root["settings"]["position"] = position;
    if (!plan_.without_list) root["known"] = config::parse(source_.whole());
    const std::string file = folder_ / fmt::format("n{}.json", position);
    std::ofstream(file) << root.toStyledString();
    host.process.command = {program_path(), "serve", "--config", file};
    if (!distributors_.empty()) {
        Json::Value operators;
        operators["distribution"] = distribution_part(position);
        const std::string added = folder_ / fmt::format("n{}-operator.json", position);
        std::ofstream(added) << operators.toStyledString();
        host.process.command.insert(host.process.command.end(), {"--operator", added});
    }
    host.process.log = folder_ / fmt::format("n{}.log", position);
}

void FleetRun::start(Host &host) {
    host.started = clock_.now();
    host.process.start();
}

int FleetRun::brokers_up() const {
    int all = 0;
    for (const Host &host : hosts_)
        if (host.started > 0) all += static_cast<int>(host.positions.size());
    return all;
}

asio::awaitable<void> FleetRun::main() {
    for (Distributor &distributor : distributors_) distributor.process.start();
    co_await await_distributors();
    for (Host &host : hosts_)
        if (!host.late) start(host);
    co_await await_brokers(brokers_up());
    co_await rest(io_, kSettle);
    const Micros begin = clock_.now();
    for (const Event &event : plan_.events)
        asio::co_spawn(io_, this->event(event), [this](const std::exception_ptr &error) {
            if (error) failure_ = error, io_.stop();
        });
    for (const Phase &phase : plan_.phases) co_await this->phase(phase);
    figures_["seconds"] = static_cast<double>(clock_.now() - begin) / 1e6;
    if (!plan_.events.empty()) co_await rest(io_, kQuiet);
    for (Distributor &distributor : distributors_) co_await ask(distributor);
    stop_hosts();
    read_records();
    count_all();
}

asio::awaitable<void> FleetRun::await_distributors() {
    const Micros until = clock_.now() + kUpWithin;
    for (Distributor &distributor : distributors_)
        for (;;) {
            co_await ask(distributor);
            if (distributor.told["members"] >= size_.nodes) break;
            if (clock_.now() > until) throw std::runtime_error(distributor.entry.name + " does not come up");
            co_await rest(io_, kLook);
        }
}

asio::awaitable<void> FleetRun::await_brokers(int count) {
    const Micros until = clock_.now() + kUpWithin;
    while (co_await callers() < count) {
        if (clock_.now() > until)
            throw std::runtime_error(fmt::format("not all of {} brokers come up", count));
        co_await rest(io_, kLook);
    }
}

asio::awaitable<int> FleetRun::callers() {
    if (distributors_.empty()) co_return static_cast<int>(source_.delivery().callers());
    double all = 0;
    for (Distributor &distributor : distributors_) {
        co_await ask(distributor);
        all += distributor.told["callers"];
    }
    co_return static_cast<int>(all);
}

// What does not answer keeps the figures that it told last.
asio::awaitable<void> FleetRun::ask(Distributor &distributor) {
    asio::ip::tcp::socket socket(io_);
    const Micros until = clock_.now() + kAskWithin;
    if (co_await net::dial(socket, loopback(distributor.control), until, deadlines_)) co_return;
    const auto response = co_await net::http::exchange(
        socket, "GET /admin/stats HTTP/1.1\r\nHost: distributor\r\n\r\n", until, deadlines_);
    if (!response || response->status != 200) co_return;
    std::istringstream lines(response->body);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t dot = line.find('.'), colon = line.find(':');
        distributor.told[line.substr(dot + 1, colon - dot - 1)] = std::atof(line.c_str() + colon + 1);
    }
}

asio::awaitable<void> FleetRun::phase(const Phase &phase) {
    const Counters before = co_await count();
    const Micros until = clock_.now() + micros(phase.seconds);
    co_await changes(phase.changes_per_second, until);
    const Counters after = co_await count();
    played_.push_back({phase, before.at, after.at});
    count_phase(phase, before, after);
}

asio::awaitable<void> FleetRun::changes(double per_second, Micros until) {
    const Micros gap = per_second > 0 ? micros(1 / per_second) : 0;
    Micros next = clock_.now() + gap / 2;
    while (gap > 0 && next < until) {
        co_await rest(io_, next - clock_.now());
        source_.change_one();
        next += gap;
    }
    co_await rest(io_, until - clock_.now());
}

asio::awaitable<void> FleetRun::event(Event event) {
    using Kind = Event::Kind;
    co_await rest(io_, micros(event.at));
    const auto number = static_cast<std::size_t>(event.index);
    switch (event.kind) {
    case Kind::KillDistributor:
        distributors_[number].cpu_before_s += usage_of(distributors_[number].process.pid).cpu_s;
        distributors_[number].process.kill();
        co_await rest(io_, micros(event.length));
        distributors_[number].process.start();
        break;
    case Kind::PauseDistributor:
        distributors_[number].process.signal(SIGSTOP);
        co_await rest(io_, micros(event.length));
        distributors_[number].process.signal(SIGCONT);
        break;
    case Kind::StartZone:
        for (Host &host : hosts_)
            if (host.late && host.started == 0) start(host);
        break;
    case Kind::RemoveNodes:
        source_.remove(event.count, event.name);
        co_await rest(io_, micros(event.length));
        source_.bring_back(event.name);
        break;
    case Kind::CutRegion:
        cut_until_[number] = clock_.now() + micros(event.length);
        outages_.push_back({region_name(event.index), clock_.now(), cut_until_[number]});
        break;
    }
}

asio::awaitable<Counters> FleetRun::count() {
    Counters now;
    for (Distributor &distributor : distributors_) {
        co_await ask(distributor);
        const double cpu = distributor.cpu_before_s + usage_of(distributor.process.pid).cpu_s;
        now.distributor_cpu_s += cpu;
        now.worst_distributor_cpu_s = std::max(now.worst_distributor_cpu_s, cpu);
        now.distributor_sent += distributor.told["sent_bytes"];
        now.distributor_calls += distributor.told["calls"];
    }
    for (const Host &host : hosts_) now.hollow_cpu_s += usage_of(host.process.pid).cpu_s;
    now.at = clock_.now();
    now.source_cpu_s = usage_of(::getpid()).cpu_s;
    now.source_calls = static_cast<double>(source_.delivery().figures().calls);
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
    if (distributors_.empty()) return;
    const double count = static_cast<double>(distributors_.size());
    put("distributor.cpu_percent", before.distributor_cpu_s * 100, after.distributor_cpu_s * 100, count);
    put("distributor.sent_bytes_per_s", before.distributor_sent, after.distributor_sent, count);
    put("distributor.calls_per_s", before.distributor_calls, after.distributor_calls, count);
}

// Memory is read before the processes end; hollow ones then write what they saw.
void FleetRun::stop_hosts() {
    double kb = 0, distributor_kb = 0, cpu_s = 0;
    for (const Host &host : hosts_) {
        const ProcessUsage usage = usage_of(host.process.pid);
        memory_kb_[host.result] = static_cast<double>(usage.memory_kb);
        kb += static_cast<double>(usage.memory_kb);
        cpu_s += usage.cpu_s;
    }
    for (const Distributor &distributor : distributors_)
        distributor_kb =
            std::max(distributor_kb, static_cast<double>(usage_of(distributor.process.pid).memory_kb));
    figures_["broker.process_kb"] = kb / size_.brokers;
    figures_["broker.cpu_s"] = cpu_s / size_.brokers;
    if (!distributors_.empty()) figures_["distributor.memory_kb"] = distributor_kb;
    figures_["discovery.memory_kb"] = static_cast<double>(usage_of(::getpid()).memory_kb);
    for (const Host &host : hosts_) host.process.signal(SIGTERM);
    for (Host &host : hosts_)
        if (host.process.pid > 0) ::waitpid(std::exchange(host.process.pid, -1), nullptr, 0);
}

void FleetRun::read_records() {
    double hollow_kb = 0;
    for (const Host &host : hosts_) {
        if (host.result.empty()) continue;
        const Json::Value root = config::parse(config::read_text(host.result));
        hollow_kb += memory_kb_[host.result] - root["memory_before_kb"].asDouble();
        std::size_t number = 0;
        for (const Json::Value &row : root["brokers"]) {
            BrokerRecord record;
            record.name = row["name"].asString();
            record.region = broker_region(host.positions[number++]);
            record.started = host.started;
            record.first_sample = root["first_sample_us"].asInt64();
            record.went_back = row["went_back"].asInt();
            record.calls = row["calls"].asDouble();
            record.failed = row["failed"].asDouble();
            record.datagrams = row["datagrams"].asDouble();
            const Json::Value &adopted = row["adopted"];
            for (Json::ArrayIndex n = 0; n + 1 < adopted.size(); n += 2)
                record.adopted.push_back({adopted[n].asInt64(), adopted[n + 1].asInt64()});
            for (const Json::Value &bytes : row["traffic"]) record.traffic.push_back(bytes.asDouble());
            records_.push_back(std::move(record));
        }
    }
    if (!records_.empty()) figures_["broker.memory_kb"] = hollow_kb / static_cast<double>(records_.size());
}

void FleetRun::count_all() {
    if (!distributors_.empty()) {
        double peak = 0, whole = 0, put_off = 0, behind = 0;
        for (Distributor &distributor : distributors_) {
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
    if (records_.empty()) return;
    const auto sum = [this](const auto &of) {
        double all = 0;
        for (const BrokerRecord &record : records_) all += of(record);
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
        if (found.counted == 0 && found.missed == 0) return;
        figures_[name + ".worst_s"] = found.worst_s;
        figures_[name + ".median_s"] = found.median_s;
        figures_[name + ".missed"] = found.missed;
        fmt::print("  {}: {} held, worst {:.3f} s ({}), median {:.3f} s, {} missed\n", name, found.counted,
                   found.worst_s, found.worst_broker, found.median_s, found.missed);
    };
    const auto &changes = source_.published();
    const Micros first = changes.front().at;
    put("change",
        latencies(changes, records_, outages_, [&](const Published &change) { return change.at > first; }));
    for (const Event &event : plan_.events)
        put("event." + event.name, latencies(changes, records_, outages_, [&](const Published &change) {
                return change.event == event.name;
            }));
}

} // namespace

Figures play(const FleetPlan &plan, std::uint64_t seed, const std::filesystem::path &folder) {
    check_load(plan, machine_memory_mb());
    auto *const run = new FleetRun(plan, seed, folder);
    return run->run();
}

} // namespace marblewood::lab::scale
