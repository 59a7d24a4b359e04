// The program beside each backend server: the only sender of work to it.
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
