// A broker's watch on the documents of the configuration that may change while it serves. A document is taken
// whole or not at all: one that is wrong is counted, the log names its field, and what was in force stays.
#pragma once

#include "config/operations.hpp"
#include "net/lists/codec.hpp"

namespace marblewood::net::lists {

class DocumentWatch {
public:
    using Apply = std::function<void(const config::Operations &operations, distribution::Revision version)>;

    /// Asks the distributors that `selector` chooses from, and reports to them as `broker`.
    DocumentWatch(asio::io_context &io, core::Deadlines &deadlines,
                  distribution::DistributorSelector selector, std::string broker, std::uint64_t seed,
                  Apply apply);

    /// The version whose documents are in force; 0 where there is none yet.
    distribution::Revision in_force() const { return in_force_; }
    std::uint64_t refused() const { return refused_; }
    const discovery::DiscoveryMetrics &metrics() const { return watch_->metrics(); }

private:
    void told(const discovery::ListResponse &reading);
    std::string report() const;

    const std::string broker_;
    const Apply apply_;
    distribution::Revision in_force_ = 0;
    distribution::Revision heard_ = 0; // of the last answer, taken or not
    bool wrong_ = false;               // the last operations were refused
    std::uint64_t refused_ = 0;
    std::optional<discovery::DiscoveryClient> watch_;
};

/// How distributors are asked: as a service that many share, not an agent on this machine.
discovery::WatchOptions shared_service(std::uint64_t seed);

} // namespace marblewood::net::lists
