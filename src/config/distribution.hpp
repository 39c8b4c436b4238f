/// \file
/// The configuration of list distribution: a distributor's own file, and the part of the operator's file that
/// names a broker's distributors.
#pragma once

#include "config/decode.hpp"
#include "distribution/delivery.hpp"
#include "distribution/distributor_selector.hpp"

namespace marblewood::config {

struct DistributorConfig {
    std::string name, listen, control;
    distribution::Locality locality;
    std::vector<distribution::Distributor> parents; ///< discovery, or other distributors
    // The topmost distributor reads the documents from a file, others get them from distributors. If both
    // fields are empty, no documents are served.
    std::string document_file;
    std::vector<distribution::Distributor> document_parents;
    distribution::DeliveryLimits limits;
    std::size_t most_removed = 0; ///< removed members that the change log keeps
    std::size_t most_callers = 0;
};
/// Throws Error naming the field.
DistributorConfig load_distributor(const std::string &path);

/// A broker's locality and the distributors that it may call.
struct Distribution {
    distribution::Locality locality;
    std::vector<distribution::Distributor> distributors;
    bool documents = false; ///< the distributors also serve configuration documents
};
/// `part` must have been validated against kOperatorSchema. Throws Error naming the field.
Distribution read_distribution(const Json::Value &part);

} // namespace marblewood::config
