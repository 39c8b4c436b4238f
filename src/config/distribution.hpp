// How lists are distributed, as operators write it: a distributor's own file, and the part of the operator's
// file that names the distributors to a broker.
#pragma once

#include "config/decode.hpp"
#include "distribution/delivery.hpp"
#include "distribution/distributor_selector.hpp"

namespace marblewood::config {

struct DistributorConfig {
    std::string name, listen, control;
    distribution::Locality locality;
    std::vector<distribution::Distributor> parents; // discovery, or other distributors
    // Documents come from a file, at the top, or from other distributors; neither: none are served.
    std::string document_file;
    std::vector<distribution::Distributor> document_parents;
    distribution::DeliveryLimits limits;
    std::size_t most_removed = 0; // members whose removal is remembered
    std::size_t most_callers = 0;
};
/// Throws Error naming the field.
DistributorConfig load_distributor(const std::string &path);

/// Where a broker is, and whom it may ask.
struct Distribution {
    distribution::Locality locality;
    std::vector<distribution::Distributor> distributors;
    bool documents = false; // they serve the configuration's documents, too
};
/// `part` was checked against the operator's schema. Throws Error naming the field.
Distribution read_distribution(const Json::Value &part);

} // namespace marblewood::config
