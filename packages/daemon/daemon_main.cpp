/** @file daemon_main.cpp Command line of rosemarydeckd. */
#include "daemon/daemon_base.hpp"
#include "gateway/gateway_base.hpp"
#include "platform/platform_settings_func.hpp"
#include "settings/settings_base.hpp"

#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <popt.h>

namespace
{

using namespace rosemarydeck;

constexpr int exit_ok = 0;
constexpr int exit_bad_settings = 1;
constexpr int exit_bad_usage = 2;
constexpr int mmap_threshold_bytes = 131'072;

/** Options of the command line. */
struct command_line
{
    char* settings_file = nullptr;
    char* check_file = nullptr;
    int platform = 0;
    int metrics_port = 9464;
    int print = 0;
    int version = 0;
};

parsed_settings load_or_report(const char* path)
{
    auto loaded = load_settings(path);
    if (!loaded)
        for (const auto& fault : loaded.error())
            std::fprintf(stderr, "%s:%zu: %s\n", path, fault.line,
                         fault.text.c_str());
    return loaded;
}

int check(const char* path)
{
    if (!load_or_report(path))
        return exit_bad_settings;
    std::printf("%s: settings are good\n", path);
    return exit_ok;
}

int print_default_settings()
{
    std::fputs(print_settings(default_settings()).c_str(), stdout);
    return exit_ok;
}

int serve(const char* path)
{
    const auto values = load_or_report(path);
    if (!values)
        return exit_bad_settings;
    start_logging(values->log_level);
    auto* process = new rosemarydeck::daemon(*values);
    const auto result = process->run();
    std::fflush(nullptr);
    // Fibers still hold idle connections, which the end of the process closes.
    // Nothing else is left to clean up.
    std::_Exit(static_cast<int>(result));
}

/** Runs the router on the users' platform. An environment variable holds the
 *  path of its settings file. */
int serve_platform(int metrics_port)
{
    const char* path = std::getenv(platform::settings_variable);
    if (path == nullptr) {
        std::fprintf(
            stderr,
            "rosemarydeckd: environment variable %s is not set; set it to "
            "the path of the settings file\n",
            platform::settings_variable);
        return exit_bad_usage;
    }
    auto values = platform::read_settings(path);
    if (!values) {
        for (const auto& fault : values.error())
            std::fprintf(stderr, "%s:%zu: %s\n", path, fault.line,
                         fault.text.c_str());
        return exit_bad_settings;
    }
    values->metrics_port = static_cast<std::uint16_t>(metrics_port);
    // A fixed threshold returns large buffers to the system as soon as they are
    // freed. By default it grows to the size of those that were freed.
    mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    auto* process = new gateway(*values, path);
    const int code = process->run();
    // The traffic thread still holds connections, which the end of the process
    // closes.
    std::_Exit(code);
}

int usage_error(poptContext context, const char* text)
{
    std::fprintf(stderr, "rosemarydeckd: %s\n", text);
    poptPrintUsage(context, stderr, 0);
    return exit_bad_usage;
}

int run(poptContext context, const command_line& arguments)
{
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1)
        return usage_error(context, poptStrerror(parsed));
    if (poptPeekArg(context) != nullptr)
        return usage_error(context,
                           "unexpected argument; only options are accepted");
    if (arguments.version != 0) {
        std::puts("rosemarydeckd 0.1.0");
        return exit_ok;
    }
    if (arguments.print != 0)
        return print_default_settings();
    if (arguments.check_file != nullptr)
        return check(arguments.check_file);
    if (arguments.platform != 0)
        return arguments.metrics_port < 0 || arguments.metrics_port > 65'535
                   ? usage_error(
                         context,
                         "--metrics-port must be a number from 0 to 65535")
                   : serve_platform(arguments.metrics_port);
    if (arguments.settings_file == nullptr)
        return usage_error(context,
                           "--settings FILE or --platform is required");
    return serve(arguments.settings_file);
}

} // namespace

int main(int argc, const char** argv)
{
    command_line arguments;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &arguments.settings_file, 0,
         "run with the settings in FILE", "FILE"},
        {"platform", 0, POPT_ARG_NONE, &arguments.platform, 0,
         "run on the users' platform, with the settings file that "
         "ROSEMARYDECK_CONFIG names",
         nullptr},
        {"metrics-port", 0, POPT_ARG_INT, &arguments.metrics_port, 0,
         "with --platform: port that serves /metrics; default 9464, 0 lets the "
         "system choose",
         "PORT"},
        {"check-settings", 'c', POPT_ARG_STRING, &arguments.check_file, 0,
         "check the settings in FILE, print each error with its line number, "
         "and exit",
         "FILE"},
        {"print-settings", 'p', POPT_ARG_NONE, &arguments.print, 0,
         "print a commented settings file with all defaults, and exit",
         nullptr},
        {"version", 'v', POPT_ARG_NONE, &arguments.version, 0,
         "print the version, and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context =
        poptGetContext("rosemarydeckd", argc, argv, options, 0);
    poptSetOtherOptionHelp(
        context, "[OPTION...]\nExit codes: 0 drained or done, 1 invalid "
                 "settings, 2 invalid usage, 3 stopped before the drain ended, "
                 "4 port could not be opened.\n");
    const int code = run(context, arguments);
    poptFreeContext(context);
    return code;
}
