/** @file daemon_main.cpp Command line of rosemarydeckd. */
#include "daemon/daemon_base.hpp"
#include "gateway/gateway_base.hpp"
#include "platform/platform_settings_func.hpp"
#include "settings/settings_base.hpp"

#include <cstdio>
#include <cstdlib>
#include <popt.h>

namespace
{

using namespace rosemarydeck;

constexpr int exit_ok = 0;
constexpr int exit_bad_settings = 1;
constexpr int exit_bad_usage = 2;

/** What the command line asks for. */
struct command_line
{
    char* settings_file = nullptr;
    char* check_file = nullptr;
    int platform = 0;
    int metrics_port = 9464;
    int print = 0;
    int version = 0;
};

parsed_settings load_or_complain(const char* path)
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
    if (!load_or_complain(path))
        return exit_bad_settings;
    std::printf("%s: settings are good\n", path);
    return exit_ok;
}

int print()
{
    std::fputs(print_settings(default_settings()).c_str(), stdout);
    return exit_ok;
}

int serve(const char* path)
{
    const auto values = load_or_complain(path);
    if (!values)
        return exit_bad_settings;
    start_logging(values->log_level);
    auto* vm = new rosemarydeck::daemon(*values);
    const auto how = vm->run();
    std::fflush(nullptr);
    // Idle connections are still held by fibers; ending the process closes
    // them, and nothing else is left to do.
    std::_Exit(static_cast<int>(how));
}

/** Runs the router on the users' platform, whose settings file is named in an
 *  environment variable. */
int serve_platform(int metrics_port)
{
    const char* path = std::getenv(platform::settings_variable);
    if (path == nullptr) {
        std::fprintf(stderr, "rosemarydeckd: %s is not set\n",
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
    auto* vm = new gateway(*values, path);
    const int code = vm->run();
    // The traffic thread still holds connections; see serve().
    std::_Exit(code);
}

int usage_fault(poptContext context, const char* text)
{
    std::fprintf(stderr, "rosemarydeckd: %s\n", text);
    poptPrintUsage(context, stderr, 0);
    return exit_bad_usage;
}

int run(poptContext context, const command_line& line)
{
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1)
        return usage_fault(context, poptStrerror(parsed));
    if (poptPeekArg(context) != nullptr)
        return usage_fault(context, "unexpected argument");
    if (line.version != 0) {
        std::puts("rosemarydeckd 0.1.0");
        return exit_ok;
    }
    if (line.print != 0)
        return print();
    if (line.check_file != nullptr)
        return check(line.check_file);
    if (line.platform != 0)
        return line.metrics_port < 0 || line.metrics_port > 65'535
                   ? usage_fault(context, "--metrics-port is no port")
                   : serve_platform(line.metrics_port);
    if (line.settings_file == nullptr)
        return usage_fault(context, "--settings FILE is missing");
    return serve(line.settings_file);
}

} // namespace

int main(int argc, const char** argv)
{
    command_line line;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &line.settings_file, 0,
         "run with the settings in FILE", "FILE"},
        {"platform", 0, POPT_ARG_NONE, &line.platform, 0,
         "route on the users' platform, with the settings that it names",
         nullptr},
        {"metrics-port", 0, POPT_ARG_INT, &line.metrics_port, 0,
         "with --platform: serve /metrics there; 9464 if not given, 0 takes "
         "any",
         "PORT"},
        {"check-settings", 'c', POPT_ARG_STRING, &line.check_file, 0,
         "check FILE, say each fault with its line, and end", "FILE"},
        {"print-settings", 'p', POPT_ARG_NONE, &line.print, 0,
         "print a commented file with every default, and end", nullptr},
        {"version", 'v', POPT_ARG_NONE, &line.version, 0,
         "print the version, and end", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context =
        poptGetContext("rosemarydeckd", argc, argv, options, 0);
    poptSetOtherOptionHelp(
        context, "[OPTION...]\nExit codes: 0 drained or done, 1 bad settings, "
                 "2 bad usage, 3 cut off, 4 port not opened.\n");
    const int code = run(context, line);
    poptFreeContext(context);
    return code;
}
