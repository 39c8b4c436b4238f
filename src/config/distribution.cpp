#include "config/distribution.hpp"

#include "config/config.hpp"
#include "config/schema.hpp"

#include <set>

namespace marblewood::config {
namespace {

// A broker may use 2 KB/s for control traffic. The burst is what it may receive within the 7 s in which a
// change has to be in force.
constexpr distribution::ByteBudget kDefaultCallerBudget{2'000, 14'000};
constexpr distribution::ByteBudget kDefaultMachineBudget{10'000'000, 10'000'000};
constexpr std::int64_t kDefaultMaxRemoved = 20'000, kDefaultMaxCallers = 4'000;

std::vector<distribution::Distributor> read_distributors(const Json::Value &rows, const char *field) {
    std::vector<distribution::Distributor> distributors;
    std::set<std::string> names;
    for (const Json::Value &row : rows) {
        distributors.push_back({need_text(row, "name"),
                                need_text(row, "address"),
                                {text_or(row, "zone", ""), text_or(row, "region", "")}});
        if (!names.insert(distributors.back().name).second)
            throw Error(std::string("field '") + field + "': duplicate name '" + distributors.back().name +
                        "'");
    }
    return distributors;
}

distribution::ByteBudget read_budget(const Json::Value &root, const char *rate, const char *burst,
                                     distribution::ByteBudget fallback) {
    return {number_or(root, rate, fallback.rate), number_or(root, burst, fallback.burst)};
}

} // namespace

DistributorConfig load_distributor(const std::string &path) {
    const std::string text = read_text(path);
    const Json::Value root = parse(text);
    validate(root, text, kDistributorSchema);
    DistributorConfig config;
    config.name = need_text(root, "name");
    config.listen = need_text(root, "listen");
    config.control = text_or(root, "control", "");
    config.locality = {need_text(root, "zone"), need_text(root, "region")};
    config.parents = read_distributors(root["parents"], "parents");
    if (root.isMember("documents")) {
        const Json::Value &documents = root["documents"];
        config.document_file = text_or(documents, "file", "");
        config.document_parents = read_distributors(documents["parents"], "documents.parents");
        if (config.document_file.empty() == config.document_parents.empty())
            throw Error("field 'documents': exactly one of 'file' and 'parents' is required");
    }
    config.limits.caller =
        read_budget(root, "caller_bytes_per_second", "caller_burst_bytes", kDefaultCallerBudget);
    config.limits.machine =
        read_budget(root, "machine_bytes_per_second", "machine_burst_bytes", kDefaultMachineBudget);
    config.most_removed = static_cast<std::size_t>(integer_or(root, "most_removed", kDefaultMaxRemoved));
    config.most_callers = static_cast<std::size_t>(integer_or(root, "most_callers", kDefaultMaxCallers));
    return config;
}

Distribution read_distribution(const Json::Value &part) {
    return {{need_text(part, "zone"), need_text(part, "region")},
            read_distributors(part["distributors"], "distribution.distributors"),
            flag_or(part, "documents", false)};
}

} // namespace marblewood::config
