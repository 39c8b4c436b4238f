#include "lab/world.hpp"

#include "lab/helpers.hpp"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>
#include <fstream>

namespace marblewood::lab {

void Testbed::create_topology() {
    const Experiment &e = experiment_;
    map_.brokers_per_volume = e.spread;
    keys_by_cell_.resize(static_cast<std::size_t>(e.cells));
    coordinator_link_ = free_port(), coordinator_control_ = free_port();
    discovery_.emplace(io_, deadlines_,
                       EmulatedDiscovery::Model{!settings_.poll_endpoint_list, micros(e.min_list_delay),
                                                micros(e.max_list_delay)},
                       static_cast<std::size_t>(e.cells * e.brokers), random_stream(seed_, 6)());
    for (int c = 0; c < e.cells; ++c) {
        cells::Cell cell{fmt::format("c{}", c), e.node.capacity() * e.nodes, {}, {}, false, false};
        for (int b = 0; b < e.brokers; ++b) {
            Broker broker;
            broker.name = fmt::format("c{}-b{}", c, b);
            broker.cell = c, broker.port = free_port(), broker.link = free_port();
            broker.peer = free_port(), broker.control = free_port();
            cell.brokers.push_back({broker.name, fmt::format("127.0.0.1:{}", broker.port),
                                    fmt::format("127.0.0.1:{}", broker.link)});
            brokers_.push_back(std::move(broker));
        }
        for (int n = 0; n < e.nodes; ++n) {
            const std::string name = fmt::format("s-{}-{}", c, n);
            cell.nodes.insert(name);
            EmulatedNode::NodeCallbacks callbacks{
                [this](const std::string &id, std::uint64_t volume, double units) {
                    if (const auto first = first_attempt_at_.find(id); first != first_attempt_at_.end())
                        oracle_->attempt_reached_node(first->second);
                    const auto at = volume_numbers_.find(volume);
                    if (at != volume_numbers_.end() && charged_ids_.insert(id).second)
                        oracle_->charge_units(clock_.now(), at->second, units);
                },
                [this, c](const std::string &key) { oracle_->write_executed(key, c); },
                keys_by_cell_[static_cast<std::size_t>(c)], settings_.classes[1].deduplication_window};
            nodes_.push_back(std::make_unique<EmulatedNode>(
                io_, deadlines_, name, e.node, settings_.slow_start_window,
                random_stream(seed_, 3, static_cast<std::uint32_t>(nodes_.size()))(), std::move(callbacks)));
        }
        map_.cells.push_back(std::move(cell));
    }
    for (const Fault &f : e.faults) {
        const bool nodes = f.what == "cut-nodes";
        if (parts_.faults && (nodes || f.what == "datagrams" || f.what == "cut"))
            network_faults_.add({micros(f.at), micros(f.at + f.length), f.from, f.to, nodes,
                                 f.what != "datagrams", f.lost, f.doubled, micros(f.min_delay),
                                 micros(f.max_delay)});
    }
    if (e.peers) {
        std::vector<int> listen_ports, groups;
        for (const Broker &broker : brokers_)
            listen_ports.push_back(broker.peer), groups.push_back(broker.cell);
        datagrams_.emplace(io_, deadlines_, network_faults_, std::move(listen_ports), std::move(groups));
    }
    if (e.relay)
        for (int b = 0; b < static_cast<int>(brokers_.size()); ++b)
            for (int n = 0; n < static_cast<int>(nodes_.size()); ++n)
                streams_.push_back(std::make_unique<StreamRelay>(
                    io_, deadlines_, nodes_[static_cast<std::size_t>(n)]->port(), [this, b, n] {
                        return start_ > 0 && network_faults_.silent(b, n, clock_.now() - start_);
                    }));
}

void Testbed::plan_requests() {
    const Experiment &e = experiment_;
    std::uint32_t number = 0;
    std::vector<double> regular_rate(static_cast<std::size_t>(e.cells));
    const auto arrivals = [&](int volume, double rate, double from, double to, double units, double writes,
                              bool surge) {
        std::mt19937_64 random = random_stream(seed_, surge ? 2 : 1, static_cast<std::uint32_t>(volume));
        boost::random::exponential_distribution<double> gap(rate);
        boost::random::uniform_int_distribution<int> size(1, std::max(1, static_cast<int>(2 * units) - 1)),
            piece(0, 999);
        boost::random::bernoulli_distribution<double> write(writes);
        for (double at = from + gap(random); at < to; at += gap(random)) {
            PlannedRequest d;
            d.at = micros(at);
            d.volume = volume;
            d.surge = surge;
            d.write = write(random);
            d.units = std::min(size(random), 8);
            d.object_id = fmt::format(
                "{:012x}{:04x}",
                static_cast<std::uint64_t>(volumes_[static_cast<std::size_t>(volume)].id) & 0xffffffffffff,
                piece(random));
            d.random_bits = random();
            if (d.write)
                d.key = fmt::format("{:016x}", random());
            planned_requests_.push_back(std::move(d));
        }
    };
    std::mt19937_64 ids = random_stream(seed_, 0);
    for (const VolumeKind &kind : e.volumes)
        for (int n = 0; n < kind.count; ++n, ++number) {
            Volume v;
            v.id = VolumeId{ids()};
            v.id_text = fmt::format("{:016x}", static_cast<std::uint64_t>(v.id));
            for (std::size_t p = 0; p < settings_.plans.size(); ++p)
                if (settings_.plans[p].name == kind.plan)
                    v.plan = static_cast<int>(p);
            const cells::Cell &home = *map_.home_cell(v.id);
            v.cell = static_cast<int>(&home - map_.cells.data());
            for (const cells::Broker *b : map_.brokers_of(v.id, home))
                for (std::size_t i = 0; i < brokers_.size(); ++i)
                    if (brokers_[i].name == b->name)
                        v.brokers.push_back(static_cast<int>(i));
            v.busiest = kind.busiest, v.shift = micros(kind.shift_s);
            volume_numbers_[static_cast<std::uint64_t>(v.id)] = static_cast<int>(volumes_.size());
            regular_rate[static_cast<std::size_t>(v.cell)] += kind.rate;
            volumes_.push_back(std::move(v));
            arrivals(static_cast<int>(number), kind.rate, 0, e.seconds, kind.units, kind.writes, false);
        }
    if (parts_.surges)
        for (const Surge &surge : e.surges)
            for (std::size_t v = 0; v < volumes_.size(); ++v)
                if (volumes_[v].cell == surge.cell &&
                    settings_.plans[static_cast<std::size_t>(volumes_[v].plan)].name == surge.plan) {
                    arrivals(static_cast<int>(v),
                             surge.times * regular_rate[static_cast<std::size_t>(surge.cell)], surge.at,
                             std::min(surge.at + surge.length, e.seconds), 2, 0.2, true);
                    break;
                }
    std::stable_sort(planned_requests_.begin(), planned_requests_.end(),
                     [](const PlannedRequest &a, const PlannedRequest &b) { return a.at < b.at; });
}

void Testbed::write_settings() {
    const std::string program = program_path();
    Json::Value cells(Json::objectValue);
    cells["keeper"]["link"] = fmt::format("127.0.0.1:{}", coordinator_link_);
    cells["keeper"]["control"] = fmt::format("127.0.0.1:{}", coordinator_control_);
    cells["state"] = (folder_ / "state").string();
    cells["spread"] = map_.brokers_per_volume;
    cells["forward"] = experiment_.forward;
    for (const cells::Cell &cell : map_.cells) {
        Json::Value one;
        one["name"] = cell.name;
        one["capacity"] = cell.capacity;
        for (const cells::Broker &b : cell.brokers) {
            Json::Value row;
            row["name"] = b.name, row["clients"] = b.client_address, row["link"] = b.link_address;
            one["brokers"].append(std::move(row));
        }
        for (const std::string &node : cell.nodes)
            one["nodes"].append(node);
        cells["cells"].append(std::move(one));
    }
    Json::Value root;
    root["lend_limits"] = experiment_.peers && parts_.talk;
    root["cells"] = std::move(cells);
    const std::string operators = folder_ / "operator.json";
    std::ofstream(operators) << root.toStyledString();
    coordinator_.command = {program, "keeper", "--operator", operators};
    coordinator_.log = folder_ / "keeper.log";
    std::map<int, int> position;
    for (std::size_t number = 0; number < brokers_.size(); ++number) {
        Broker &broker = brokers_[number];
        Json::Value c;
        c["name"] = broker.name;
        c["listen"] = fmt::format("127.0.0.1:{}", broker.port);
        c["discovery"] = fmt::format("127.0.0.1:{}", discovery_->port(number));
        c["seed"] = fmt::format("{:x}", random_stream(seed_, 4, static_cast<std::uint32_t>(broker.port))());
        c["known"] = config::parse(R"({"revision":1,"complete":true,"members":[)" + member_list(number) +
                                   "]}"); // the endpoint list it starts with
        c["limits"]["sockets"] = 1024;
        c["limits"]["memory_mb"] = 192;
        c["settings"] = experiment_.settings;
        c["settings"]["instances"] = experiment_.brokers; // brokers that share the cell's nodes
        c["settings"]["position"] = position[broker.cell]++;
        c["control"] = fmt::format("127.0.0.1:{}", broker.control);
        c["settings"]["bounds"]["peers"] = experiment_.peers && parts_.talk;
        if (experiment_.peers) {
            const int own = static_cast<int>(number);
            c["peer_listen"] = fmt::format("127.0.0.1:{}", broker.peer);
            c["peers_all"] = fmt::format("127.0.0.1:{}", datagrams_->port_to_all(own));
            for (std::size_t other = 0; other < brokers_.size(); ++other)
                if (brokers_[other].cell == broker.cell)
                    c["peers"].append(
                        fmt::format("127.0.0.1:{}", datagrams_->port(own, static_cast<int>(other))));
        }
        const std::string file = folder_ / (broker.name + ".json");
        std::ofstream(file) << c.toStyledString();
        broker.process.command = {program, "serve", "--config", file, "--operator", operators};
        broker.process.log = folder_ / (broker.name + ".log");
    }
}

std::string Testbed::member_list(std::size_t broker) const {
    std::string members;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
        members += fmt::format(
            R"({}{{"id":"{}","host_port":"127.0.0.1:{}","locality":"a","cell":{},"phase":"{}","up_since_ms":{}}})",
            n ? "," : "", nodes_[n]->name(),
            streams_.empty() ? nodes_[n]->port() : streams_[broker * nodes_.size() + n]->port(),
            experiment_.shards ? n % static_cast<std::size_t>(experiment_.nodes) : 0,
            nodes_[n]->draining() ? "draining" : "up", nodes_[n]->up_since() / 1000);
    return members;
}

} // namespace marblewood::lab
