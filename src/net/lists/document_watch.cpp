#include "net/lists/document_watch.hpp"

#include "core/log.hpp"
#include "net/address.hpp"

namespace marblewood::net::lists {
namespace {

// What an answer makes of the operations in force; nothing where it does not speak of them. Throws
// config::Error.
std::optional<config::Operations> operations_in(const discovery::ListResponse &reading) {
    std::optional<config::Operations> operations;
    if (reading.update.kind == ListUpdate::Kind::Full)
        operations.emplace();
    for (const Json::Value &row : reading.members) {
        if (row["id"].asString() != config::kOperationsDocument)
            continue;
        operations = row["phase"].asString() == "removed" ? config::Operations()
                                                          : config::read_operations(row["document"]);
    }
    return operations;
}

} // namespace

discovery::WatchOptions shared_service(std::uint64_t seed) {
    return {discovery::SourceKind::SharedService, 0, seed};
}

DocumentWatch::DocumentWatch(asio::io_context &io, core::Deadlines &deadlines,
                             distribution::DistributorSelector selector, std::string broker,
                             std::uint64_t seed, Apply apply)
    : broker_(std::move(broker)), apply_(std::move(apply)) {
    const std::string first = selector.current().address;
    watch_.emplace(io, deadlines, shared_service(seed),
                   discovery::SourceAddress{endpoint<tcp::endpoint>(first).value(), first}, 0,
                   discovery::WatchedResource{kDocumentsPath, read_documents, [this] { return report(); }},
                   [this](const discovery::ListResponse &reading) { told(reading); });
    watch_->use_distributors(std::move(selector));
}

std::string DocumentWatch::report() const {
    return spell(Report{broker_, in_force_, std::nullopt});
}

void DocumentWatch::told(const discovery::ListResponse &reading) {
    if (reading.revision == std::exchange(heard_, reading.revision))
        return;
    try {
        const auto operations = operations_in(reading);
        if (operations)
            apply_(*operations, reading.revision);
        wrong_ = wrong_ && !operations;
        if (wrong_)
            return; // what is in force is still older
        in_force_ = reading.revision;
        core::log("configuration: version {} is in force", in_force_);
    } catch (const config::Error &error) {
        ++refused_;
        wrong_ = true;
        core::log("configuration: version {} is not taken: {}", reading.revision, error.what());
    }
}

} // namespace marblewood::net::lists
