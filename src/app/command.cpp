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

/// The parsed command line.
struct Arguments {
    std::string config_file;
    std::string operator_file;
    std::string distributor_file;
    std::string cells_admin_address; ///< admin address of a coordinator or broker
    std::string cells_call;
    std::vector<std::string> cells_arguments;
};

/// The sub-commands, owned by the CLI::App. At most one of them is used in a run.
struct SubCommands {
    CLI::App *version;
    CLI::App *check_config;
    CLI::App *coordinator;
    CLI::App *distributor;
    CLI::App *cells;
};

CLI::App *add_cells(CLI::App &app, Arguments &arguments) {
    auto *cells = app.add_subcommand("cells", "query or change the cells of a keeper or broker");
    cells->add_option("--control", arguments.cells_admin_address, "admin address of the keeper or broker")
        ->required();
    cells
        ->add_option("call", arguments.cells_call,
                     "list, here, where, move, pin, unpin, freeze, unfreeze, evacuate or restore")
        ->required();
    cells->add_option("words", arguments.cells_arguments, "a volume, a cell, or a volume and a cell");
    return cells;
}

SubCommands define(CLI::App &app, Arguments &arguments) {
    app.add_option("--config", arguments.config_file, "configuration file; default: $BALANCER_CONFIG")
        ->envname("BALANCER_CONFIG");
    app.add_option("--operator", arguments.operator_file,
                   "the operator's file: NVMe/TCP, OTLP, planners, distribution, cells")
        ->envname("MARBLEWOOD_OPERATOR");
    app.fallthrough();
    SubCommands commands{};
    commands.version = app.add_subcommand("version", "print the version");
    commands.check_config = app.add_subcommand("check-config", "check the configuration and report errors");
    app.add_subcommand("serve", "serve clients (the default)");
    commands.coordinator =
        app.add_subcommand("keeper", "run the cell coordinator for the cells in the operator's file");
    commands.distributor = app.add_subcommand(
        "distribute", "run a distributor, which serves discovery's list to brokers (docs/CAPACITY.md)");
    commands.distributor
        ->add_option("file", arguments.distributor_file, "the distributor's configuration file")
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

/// Decodes every part of the operator's file, so that an error is reported before anything is started.
void validate(const config::Operator &operator_config, const Settings &settings) {
    net::nvme::read_mapping(operator_config.nvme, settings);
    if (!operator_config.otlp.isNull())
        net::otlp::read_endpoint(operator_config.otlp);
    if (!operator_config.cells.isNull())
        net::cells::read_layout(operator_config.cells);
    if (!operator_config.distribution.isNull())
        read_distributors(operator_config.distribution);
}

int run(const SubCommands &commands, const Arguments &arguments, core::BlockedSignal &blocked_hangup) {
    if (*commands.version) {
        fmt::print("marblewood {}\n", MARBLEWOOD_VERSION);
        return EXIT_SUCCESS;
    }
    if (*commands.cells)
        return call_cells(arguments.cells_admin_address, arguments.cells_call, arguments.cells_arguments);
    if (*commands.coordinator)
        return run_cell_coordinator(arguments.operator_file, blocked_hangup);
    if (*commands.distributor)
        return distribute(arguments.distributor_file, blocked_hangup);
    const config::Config config = load_config(arguments.config_file);
    const config::Operator operator_config = config::load_operator(arguments.operator_file);
    validate(operator_config, config.settings);
    if (*commands.check_config) {
        fmt::print("{}: in order\n", arguments.config_file);
        return EXIT_SUCCESS;
    }
    serve(arguments.config_file, config, operator_config, blocked_hangup);
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
    core::BlockedSignal blocked_hangup(SIGHUP);
    CLI::App app{"marblewood, a broker between clients and storage nodes"};
    Arguments arguments;
    const SubCommands commands = define(app, arguments);
    CLI11_PARSE(app, argc, argv);
    try {
        return run(commands, arguments, blocked_hangup);
    } catch (const std::exception &error) {
        fmt::print(stderr, "marblewood: {}\n", error.what());
        return EXIT_FAILURE;
    }
}

} // namespace marblewood::app
