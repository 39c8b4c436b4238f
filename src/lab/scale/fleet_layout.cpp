#include "lab/scale/fleet_layout.hpp"

#include <algorithm>
#include <fstream>

namespace marblewood::lab::scale {
namespace {

constexpr int kRealSockets = 1024;

} // namespace

FleetLayout::FleetLayout(const FleetPlan &plan, std::uint64_t seed, std::filesystem::path folder,
                         int discovery_port, std::string list,
                         const std::function<int(int region)> &parent_port)
    : plan_(plan), size_(plan.size), seed_(seed), folder_(std::move(folder)), discovery_port_(discovery_port),
      list_(std::move(list)) {
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ / "known.json") << list_;
    set_up_distributors(parent_port);
    set_up_brokers();
}

int FleetLayout::zone_of_broker(int position) const {
    const auto start = std::find_if(plan_.events.begin(), plan_.events.end(),
                                    [](const Event &e) { return e.kind == Event::Kind::StartZone; });
    if (start == plan_.events.end() || size_.zones == 1)
        return position % size_.zones;
    if (position >= size_.brokers - start->count)
        return start->index;
    const int zone = position % (size_.zones - 1);
    return zone < start->index ? zone : zone + 1;
}

void FleetLayout::set_up_distributors(const std::function<int(int)> &parent_port) {
    for (int n = 0; n < size_.distributors; ++n) {
        DistributorHost distributor;
        const int port = free_port();
        distributor.control = free_port();
        const int zone = zone_of_distributor(n);
        distributor.entry = {fmt::format("d{}", n),
                             fmt::format("127.0.0.1:{}", port),
                             {zone_name(zone), region_name(region_of(zone))}};
        Json::Value root;
        root["name"] = distributor.entry.name;
        root["listen"] = distributor.entry.address;
        root["control"] = fmt::format("127.0.0.1:{}", distributor.control);
        root["zone"] = distributor.entry.locality.zone;
        root["region"] = distributor.entry.locality.region;
        Json::Value row;
        row["name"] = "discovery";
        row["address"] = fmt::format("127.0.0.1:{}", parent_port(region_of(zone)));
        root["parents"].append(std::move(row));
        if (size_.documents)
            root["documents"] = documents_part(n);
        const std::string file = folder_ / (distributor.entry.name + ".json");
        std::ofstream(file) << root.toStyledString();
        distributor.process.command = {program_path(), "distribute", file};
        distributor.process.log = folder_ / (distributor.entry.name + ".log");
        distributors.push_back(std::move(distributor));
    }
}

// The first one serves documents from a file, the others watch it.
Json::Value FleetLayout::documents_part(int distributor) const {
    Json::Value part;
    if (distributor == 0) {
        part["file"] = document_file().string();
        return part;
    }
    Json::Value row;
    row["name"] = distributors.front().entry.name;
    row["address"] = distributors.front().entry.address;
    part["parents"].append(std::move(row));
    return part;
}

Json::Value FleetLayout::distribution_part(int position) const {
    Json::Value part;
    part["zone"] = zone_name(zone_of_broker(position));
    part["region"] = broker_region(position);
    for (const DistributorHost &distributor : distributors) {
        Json::Value row;
        row["name"] = distributor.entry.name;
        row["address"] = distributor.entry.address;
        row["zone"] = distributor.entry.locality.zone;
        row["region"] = distributor.entry.locality.region;
        part["distributors"].append(std::move(row));
    }
    return part;
}

void FleetLayout::set_up_brokers() {
    int late = 0;
    for (const Event &event : plan_.events)
        if (event.kind == Event::Kind::StartZone)
            late += event.count;
    const auto add = [&](int from, int until, bool held_back) {
        const int most = plan_.real ? 1 : size_.per_process;
        for (int first = from; first < until; first += most) {
            BrokerHost host;
            host.late = held_back;
            for (int n = first; n < std::min(first + most, until); ++n)
                host.positions.push_back(n);
            hosts.push_back(std::move(host));
        }
    };
    add(0, size_.brokers - late, false);
    add(size_.brokers - late, size_.brokers, true);
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        if (plan_.real)
            write_real(hosts[n]);
        else
            write_hollow(hosts[n], n);
    }
}

void FleetLayout::write_hollow(BrokerHost &host, std::size_t number) {
    Json::Value root;
    host.result = folder_ / fmt::format("hollow-{}-result.json", number);
    root["result"] = host.result;
    root["settings"] = plan_.settings;
    root["seed"] = static_cast<Json::Int64>(seed_);
    root["hosts"] = size_.brokers;
    root["documents"] = size_.documents;
    root["peer_port"] = peer_port_;
    root["discovery"] = fmt::format("127.0.0.1:{}", discovery_port_);
    if (!distributors.empty())
        root["distribution"] = distribution_part(0);
    if (!plan_.without_list)
        root["known"] = (folder_ / "known.json").string();
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

void FleetLayout::write_real(BrokerHost &host) {
    const int position = host.positions.front();
    Json::Value root;
    root["name"] = fmt::format("n{}", position);
    root["listen"] = fmt::format("127.0.0.1:{}", free_port());
    root["discovery"] = fmt::format("127.0.0.1:{}", discovery_port_);
    root["seed"] = fmt::format("{:x}", seed_ + static_cast<std::uint64_t>(position));
    root["limits"]["sockets"] = kRealSockets;
    root["settings"] = plan_.settings;
    root["settings"]["instances"] = size_.brokers;
    root["settings"]["position"] = position;
    if (!plan_.without_list)
        root["known"] = config::parse(list_);
    const std::string file = folder_ / fmt::format("n{}.json", position);
    std::ofstream(file) << root.toStyledString();
    host.process.command = {program_path(), "serve", "--config", file};
    if (!distributors.empty()) {
        Json::Value operators;
        operators["distribution"] = distribution_part(position);
        const std::string added = folder_ / fmt::format("n{}-operator.json", position);
        std::ofstream(added) << operators.toStyledString();
        host.process.command.insert(host.process.command.end(), {"--operator", added});
    }
    host.process.log = folder_ / fmt::format("n{}.log", position);
}

} // namespace marblewood::lab::scale
