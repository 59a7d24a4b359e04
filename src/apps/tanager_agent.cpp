// The agent, which runs beside each backend server. Nothing else sends work to that server.
#include "agent/agent_setup.h"
#include "program/program_runner.h"

int main(int argc, char** argv)
{
    return static_cast<int>(tanager::run_program<tanager::agent_settings>("tanager-agent",
                                                                          "Runs work on one backend server.",
                                                                          argc,
                                                                          argv,
                                                                          tanager::load_agent_settings,
                                                                          tanager::create_agent));
}
