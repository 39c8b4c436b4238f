#include "app/app.hpp"
#include "net/cells/layout.hpp"
#include "net/nvme/mapping.hpp"
#include "net/otlp/exporter.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>

namespace marblewood::app {

namespace {

using boost::asio::ip::tcp;

/// The command line, parsed.
struct Arguments {
    std::string config_file;
    std::string operator_file;
    std::string distributor_file;
    std::string cells_control; ///< admin address of a coordinator or broker
    std::string cells_call;
    std::vector<std::string> cells_words;
};

/// The sub-commands, owned by the CLI::App; at most one of them is parsed.
struct SubCommands {
    CLI::App *version;
    CLI::App *check_config;
    CLI::App *coordinator;
    CLI::App *distributor;
    CLI::App *cells;
};

CLI::App *add_cells(CLI::App &app, Arguments &arguments) {
    auto *cells = app.add_subcommand("cells", "ask a keeper or broker about cells, or have it change them");
    cells->add_option("--control", arguments.cells_control, "its operators' address")->required();
    cells
        ->add_option("call", arguments.cells_call,
                     "list, here, where, move, pin, unpin, freeze, unfreeze, evacuate or restore")
        ->required();
    cells->add_option("words", arguments.cells_words, "a volume, a cell, or a volume and a cell");
    return cells;
}

SubCommands define(CLI::App &app, Arguments &arguments) {
    app.add_option("--config", arguments.config_file, "configuration file; $BALANCER_CONFIG otherwise")
        ->envname("BALANCER_CONFIG");
    app.add_option("--operator", arguments.operator_file,
                   "the operator's own file: NVMe/TCP, OTLP, planners, cells")
        ->envname("MARBLEWOOD_OPERATOR");
    app.fallthrough();
    SubCommands commands{};
    commands.version = app.add_subcommand("version", "print the version");
    commands.check_config =
        app.add_subcommand("check-config", "read the configuration and say what is wrong with it");
    app.add_subcommand("serve", "serve clients (the default)");
    commands.coordinator =
        app.add_subcommand("keeper", "keep the map of cells that the operator's file lays out");
    commands.distributor =
        app.add_subcommand("distribute", "watch discovery and serve its list to brokers (docs/CAPACITY.md)");
    commands.distributor->add_option("file", arguments.distributor_file, "the distributor's own file")
        ->required();
    commands.cells = add_cells(app, arguments);
    app.require_subcommand(0, 1);
    return commands;
}

config::Config load_config(const std::string &path) {
    if (path.empty())
        throw config::Error("no configuration: give --config or set BALANCER_CONFIG");
    config::Config config = config::load(path);
    if (const char *const control = std::getenv("BALANCER_CONTROL"); control && *control)
        config.control = control;
    if (!config.control.empty())
        address<tcp::endpoint>(config.control, "control");
    return config;
}

/// Decodes every part of the operator's file, so that an error shows before anything is started.
void validate(const config::Operator &operator_config, const Settings &settings) {
    net::nvme::read_mapping(operator_config.nvme, settings);
    if (!operator_config.otlp.isNull())
        net::otlp::read_endpoint(operator_config.otlp);
    if (!operator_config.cells.isNull())
        net::cells::read_layout(operator_config.cells);
    if (!operator_config.distribution.isNull())
        read_distributors(operator_config.distribution);
}

int run(const SubCommands &commands, const Arguments &arguments, core::BlockedSignal &hangup) {
    if (*commands.version) {
        fmt::print("marblewood {}\n", MARBLEWOOD_VERSION);
        return EXIT_SUCCESS;
    }
    if (*commands.cells)
        return call_cells(arguments.cells_control, arguments.cells_call, arguments.cells_words);
    if (*commands.coordinator)
        return run_cell_coordinator(arguments.operator_file, hangup);
    if (*commands.distributor)
        return distribute(arguments.distributor_file, hangup);
    const config::Config config = load_config(arguments.config_file);
    const config::Operator operator_config = config::load_operator(arguments.operator_file);
    validate(operator_config, config.settings);
    if (*commands.check_config) {
        fmt::print("{}: in order\n", arguments.config_file);
        return EXIT_SUCCESS;
    }
    serve(arguments.config_file, config, operator_config, hangup);
}

} // namespace

config::Distribution read_distributors(const Json::Value &part) {
    config::Distribution distribution = config::read_distribution(part);
    for (const auto &distributor : distribution.distributors)
        address<tcp::endpoint>(distributor.address, "distribution.distributors.address");
    return distribution;
}

int command(int argc, char **argv) {
    std::signal(SIGPIPE, SIG_IGN);
    core::BlockedSignal hangup(SIGHUP);
    CLI::App app{"marblewood, a broker between clients and storage nodes"};
    Arguments arguments;
    const SubCommands commands = define(app, arguments);
    CLI11_PARSE(app, argc, argv);
    try {
        return run(commands, arguments, hangup);
    } catch (const std::exception &error) {
        fmt::print(stderr, "marblewood: {}\n", error.what());
        return EXIT_FAILURE;
    }
}

} // namespace marblewood::app
