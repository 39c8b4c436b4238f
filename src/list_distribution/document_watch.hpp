/// \file
/// A broker's watch on the configuration documents that may change while it serves. A document is applied
/// completely or not at all: an invalid one is counted, its invalid field is logged, and the documents
/// applied before stay in force.
#pragma once

#include "config/operations.hpp"
#include "discovery/discovery_client.hpp"
#include "distribution/change_log.hpp"
#include "distribution/distributor_selector.hpp"

#include <functional>
#include <optional>
#include <string>

namespace marblewood::list_distribution {

/// The options for calling distributors: they are shared services, not agents on this machine.
discovery::WatchOptions shared_service(std::uint64_t seed);

class DocumentWatch {
public:
    using ApplyHandler =
        std::function<void(const config::Operations &operations, distribution::Revision version)>;

    /// Calls the distributors of `selector`, and reports to them under the name `broker`.
    DocumentWatch(boost::asio::io_context &io, core::Deadlines &deadlines,
                  distribution::DistributorSelector selector, std::string broker, std::uint64_t seed,
                  ApplyHandler apply);

    /// The version whose documents are in force; 0 if there is none yet.
    distribution::Revision applied_version() const { return applied_version_; }
    std::uint64_t rejected() const { return rejected_; }
    const discovery::DiscoveryMetrics &metrics() const { return client_->metrics(); }

private:
    void on_response(const discovery::ListResponse &response);
    void apply(const discovery::ListResponse &response);
    std::string report() const;

    const std::string broker_;
    const ApplyHandler apply_;
    distribution::Revision applied_version_ = 0;
    distribution::Revision received_version_ = 0; ///< of the last response, applied or not
    bool last_rejected_ = false;                  ///< the newest operations were rejected
    std::uint64_t rejected_ = 0;
    std::optional<discovery::DiscoveryClient> client_;
};

} // namespace marblewood::list_distribution
