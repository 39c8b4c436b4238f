#include "config/distribution.hpp"

#include "config/config.hpp"
#include "config/schema.hpp"

#include <set>

namespace marblewood::config {
namespace {

// 2 KB a second is what a broker may spend on control; the burst is what it may get within the 7 s in which a
// change has to be in force.
constexpr distribution::ByteBudget kCallerBudget{2'000, 14'000};
constexpr distribution::ByteBudget kMachineBudget{10'000'000, 10'000'000};
constexpr std::int64_t kMostRemoved = 20'000, kMostCallers = 4'000;

std::vector<distribution::Distributor> read_distributors(const Json::Value &rows, const char *field) {
    std::vector<distribution::Distributor> all;
    std::set<std::string> names;
    for (const Json::Value &row : rows) {
        all.push_back({need_text(row, "name"),
                       need_text(row, "address"),
                       {text_or(row, "zone", ""), text_or(row, "region", "")}});
        if (!names.insert(all.back().name).second)
            throw Error(std::string("field '") + field + "': '" + all.back().name + "' stands there twice");
    }
    return all;
}

distribution::ByteBudget read_budget(const Json::Value &root, const char *rate, const char *burst,
                                     distribution::ByteBudget otherwise) {
    return {number_or(root, rate, otherwise.rate), number_or(root, burst, otherwise.burst)};
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
            throw Error("field 'documents': wanted is either 'file' or 'parents'");
    }
    config.limits.caller = read_budget(root, "caller_bytes_per_second", "caller_burst_bytes", kCallerBudget);
    config.limits.machine =
        read_budget(root, "machine_bytes_per_second", "machine_burst_bytes", kMachineBudget);
    config.most_removed = static_cast<std::size_t>(integer_or(root, "most_removed", kMostRemoved));
    config.most_callers = static_cast<std::size_t>(integer_or(root, "most_callers", kMostCallers));
    return config;
}

Distribution read_distribution(const Json::Value &part) {
    return {{need_text(part, "zone"), need_text(part, "region")},
            read_distributors(part["distributors"], "distribution.distributors"),
            flag_or(part, "documents", false)};
}

} // namespace marblewood::config
