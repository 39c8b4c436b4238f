// Where the processes of a fleet stand, and the files that they are started with.
#pragma once

#include "config/distribution.hpp"
#include "lab/process.hpp"
#include "lab/scale/plan.hpp"

#include <filesystem>
#include <fmt/format.h>
#include <functional>

namespace marblewood::lab::scale {

struct DistributorHost { // a distributor's process
    distribution::Distributor entry;
    int control = 0; // its operators' port
    Process process;
    std::map<std::string, double> told; // its figures, as it said last
    double cpu_before_s = 0;            // of processes before this one
};

struct BrokerHost { // a process with one real broker, or some hollow ones
    Process process;
    std::string result; // the file that hollow brokers write at the end
    std::vector<int> positions;
    bool late = false;  // started by an event
    Micros started = 0; // 0: not yet
};

/// Zones are assigned to distributors and brokers one by one; the brokers that an event starts make up a zone
/// of their own. Zones are assigned to regions in the same way.
class FleetLayout {
public:
    /// `list` is discovery's, as brokers know it at their start; `parent_port` is where the distributors of a
    /// region reach discovery.
    FleetLayout(const FleetPlan &plan, std::uint64_t seed, std::filesystem::path folder, int discovery_port,
                std::string list, const std::function<int(int region)> &parent_port);

    std::vector<DistributorHost> distributors;
    std::vector<BrokerHost> hosts;

    std::string broker_region(int position) const { return region_name(region_of(zone_of_broker(position))); }
    static std::string region_name(int region) { return fmt::format("region-{}", region); }
    /// The configuration's documents, which the first distributor serves.
    std::filesystem::path document_file() const { return folder_ / "documents.json"; }

private:
    int zone_of_distributor(int number) const { return number % size_.zones; }
    int zone_of_broker(int position) const;
    int region_of(int zone) const { return zone % size_.regions; }
    static std::string zone_name(int zone) { return fmt::format("zone-{}", zone); }

    void set_up_distributors(const std::function<int(int)> &parent_port);
    void set_up_brokers();
    void write_hollow(BrokerHost &host, std::size_t number);
    void write_real(BrokerHost &host);
    Json::Value distribution_part(int position) const;
    Json::Value documents_part(int distributor) const;

    const FleetPlan &plan_;
    const FleetSize &size_;
    const std::uint64_t seed_;
    const std::filesystem::path folder_;
    const int discovery_port_;
    const std::string list_;
    const int peer_port_ = free_port(); // for datagrams between brokers
};

} // namespace marblewood::lab::scale
