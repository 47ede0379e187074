/** @file standin_main.cpp Stand-ins for what the product talks to. */
#include "standin_server.hpp"

#include <cstdio>
#include <popt.h>

int main(int argc, const char** argv)
{
    int port = 0;
    int first_ms = 5;
    int pace_ms = 2;
    int slots = 8;
    char* objects = nullptr;
    const poptOption options[] = {
        {"port", 'p', POPT_ARG_INT, &port, 0, "port, 0 takes any", "PORT"},
        {"first-ms", 0, POPT_ARG_INT, &first_ms, 0, "first token", "MS"},
        {"pace-ms", 0, POPT_ARG_INT, &pace_ms, 0, "between tokens", "MS"},
        {"slots", 0, POPT_ARG_INT, &slots, 0, "reported slots", "N"},
        {"objects", 0, POPT_ARG_STRING, &objects, 0, "first objects", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("standin", argc, argv, options, 0);
    poptSetOtherOptionHelp(context, "[OPTION...] engine|platform");
    const int parsed = poptGetNextOpt(context);
    const char* kind = poptGetArg(context);
    const std::string what = kind == nullptr ? "" : kind;
    if (parsed < -1 || (what != "engine" && what != "platform")) {
        poptPrintUsage(context, stderr, 0);
        return 2;
    }
    const auto where = static_cast<unsigned short>(port);
    if (what == "engine")
        standin::run_engine(where, first_ms, pace_ms, slots);
    standin::run_platform(where, objects == nullptr ? "" : objects);
}
