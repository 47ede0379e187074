/** @file standin_main.cpp Stand-ins for the model engine and the platform. */
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
        {"port", 'p', POPT_ARG_INT, &port, 0,
         "port to listen on, 0 for any free one", "PORT"},
        {"first-ms", 0, POPT_ARG_INT, &first_ms, 0, "delay before an answer",
         "MS"},
        {"pace-ms", 0, POPT_ARG_INT, &pace_ms, 0, "delay before each token",
         "MS"},
        {"slots", 0, POPT_ARG_INT, &slots, 0, "slots reported by /load", "N"},
        {"objects", 0, POPT_ARG_STRING, &objects, 0,
         "initial objects: one JSON object, name to value", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("standin", argc, argv, options, 0);
    poptSetOtherOptionHelp(context, "[OPTION...] engine|platform");
    const int parsed = poptGetNextOpt(context);
    const char* argument = poptGetArg(context);
    const std::string kind = argument == nullptr ? "" : argument;
    if (parsed < -1 || (kind != "engine" && kind != "platform")) {
        poptPrintUsage(context, stderr, 0);
        return 2;
    }
    const auto listen_port = static_cast<unsigned short>(port);
    if (kind == "engine")
        standin::run_engine(listen_port, first_ms, pace_ms, slots);
    standin::run_platform(listen_port, objects == nullptr ? "" : objects);
}
