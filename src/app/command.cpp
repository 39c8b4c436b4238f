#include "app/app.hpp"
#include "net/cells/layout.hpp"
#include "net/nvme/mapping.hpp"
#include "net/otlp/exporter.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>

namespace marblewood::app {

namespace asio = boost::asio;

config::Distribution read_distributors(const Json::Value &part) {
    config::Distribution distribution = config::read_distribution(part);
    for (const auto &distributor : distribution.distributors)
        address<asio::ip::tcp::endpoint>(distributor.address, "distribution.distributors.address");
    return distribution;
}

int command(int argc, char **argv) {
    std::signal(SIGPIPE, SIG_IGN);
    core::HeldSignal hangup(SIGHUP);
    CLI::App app{"marblewood, a broker between clients and storage nodes"};
    std::string path;
    app.add_option("--config", path, "configuration file; $BALANCER_CONFIG otherwise")
        ->envname("BALANCER_CONFIG");
    std::string operators;
    app.add_option("--operator", operators, "the operator's own file: NVMe/TCP, OTLP, planners, cells")
        ->envname("MARBLEWOOD_OPERATOR");
    app.fallthrough();
    auto *version = app.add_subcommand("version", "print the version");
    auto *check = app.add_subcommand("check-config", "read the configuration and say what is wrong with it");
    app.add_subcommand("serve", "serve clients (the default)");
    auto *keeper = app.add_subcommand("keeper", "keep the map of cells that the operator's file lays out");
    auto *distributor =
        app.add_subcommand("distribute", "watch discovery and serve its list to brokers (docs/CAPACITY.md)");
    std::string distributor_file;
    distributor->add_option("file", distributor_file, "the distributor's own file")->required();
    auto *cells = app.add_subcommand("cells", "ask a keeper or broker about cells, or have it change them");
    std::string control, call;
    std::vector<std::string> words;
    cells->add_option("--control", control, "its operators' address")->required();
    cells
        ->add_option("call", call,
                     "list, here, where, move, pin, unpin, freeze, unfreeze, evacuate or restore")
        ->required();
    cells->add_option("words", words, "a volume, a cell, or a volume and a cell");
    app.require_subcommand(0, 1);
    CLI11_PARSE(app, argc, argv);
    try {
        if (*version) {
            fmt::print("marblewood {}\n", MARBLEWOOD_VERSION);
            return 0;
        }
        if (*cells)
            return call_cells(control, call, words);
        if (*keeper)
            return run_cell_coordinator(operators, hangup);
        if (*distributor)
            return distribute(distributor_file, hangup);
        if (path.empty())
            throw config::Error("no configuration: give --config or set BALANCER_CONFIG");
        config::Config config = config::load(path);
        if (const char *const at = std::getenv("BALANCER_CONTROL"); at && *at)
            config.control = at;
        if (!config.control.empty())
            address<asio::ip::tcp::endpoint>(config.control, "control");
        const config::Operator added = config::load_operator(operators);
        net::nvme::read_mapping(added.nvme, config.settings); // what is wrong there is said now
        if (!added.otlp.isNull())
            net::otlp::read_endpoint(added.otlp);
        if (!added.cells.isNull())
            net::cells::read_layout(added.cells);
        if (!added.distribution.isNull())
            read_distributors(added.distribution);
        if (*check) {
            fmt::print("{}: in order\n", path);
            return 0;
        }
        return serve(path, config, added, hangup);
    } catch (const std::exception &error) {
        fmt::print(stderr, "marblewood: {}\n", error.what());
        return 1;
    }
}

} // namespace marblewood::app
