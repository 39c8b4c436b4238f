#include "list_distribution/document_watch.hpp"

#include "core/log.hpp"
#include "list_distribution/list_call.hpp"
#include "list_distribution/list_codec.hpp"
#include "net/address.hpp"

namespace marblewood::list_distribution {
namespace {

/// The operations in force after a response; empty if it does not change them. Throws config::Error.
std::optional<config::Operations> operations_in(const discovery::ListResponse &response) {
    std::optional<config::Operations> operations;
    if (response.update.kind == ListUpdate::Kind::Full)
        operations.emplace();
    for (const Json::Value &row : response.members) {
        if (row["id"].asString() != config::kOperationsDocument)
            continue;
        const bool removed = row["phase"].asString() == "removed";
        operations = removed ? config::Operations() : config::read_operations(row["document"]);
    }
    return operations;
}

} // namespace

discovery::WatchOptions shared_service(std::uint64_t seed) {
    discovery::WatchOptions options;
    options.source = discovery::SourceKind::SharedService;
    options.seed = seed;
    return options;
}

DocumentWatch::DocumentWatch(boost::asio::io_context &io, core::Deadlines &deadlines,
                             distribution::DistributorSelector selector, std::string broker,
                             std::uint64_t seed, ApplyHandler apply)
    : broker_(std::move(broker)), apply_(std::move(apply)) {
    const std::string host = selector.current().address;
    const discovery::SourceAddress address{net::endpoint<boost::asio::ip::tcp::endpoint>(host).value(), host};
    discovery::WatchedResource documents{kDocumentsPath, decode_documents, [this] { return report(); }};
    client_.emplace(io, deadlines, shared_service(seed), address, 0, std::move(documents),
                    [this](const discovery::ListResponse &response) { on_response(response); });
    client_->use_distributors(std::move(selector));
}

std::string DocumentWatch::report() const {
    return encode_query(Report{broker_, applied_version_, std::nullopt});
}

void DocumentWatch::on_response(const discovery::ListResponse &response) {
    if (response.revision == received_version_)
        return;
    received_version_ = response.revision;
    try {
        apply(response);
    } catch (const config::Error &error) {
        ++rejected_;
        last_rejected_ = true;
        core::log("configuration_rejected version={} reason=\"{}\"", response.revision, error.what());
    }
}

void DocumentWatch::apply(const discovery::ListResponse &response) {
    const auto operations = operations_in(response);
    if (operations) {
        apply_(*operations, response.revision);
        last_rejected_ = false;
    }
    if (last_rejected_)
        return; // an older version is still in force
    applied_version_ = response.revision;
    core::log("configuration_applied version={}", applied_version_);
}

} // namespace marblewood::list_distribution
