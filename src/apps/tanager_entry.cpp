// The entry, which runs behind the load balancer: accepts callers' requests and returns complete responses.
#include "entry/entry_setup.h"
#include "program/program_runner.h"

int main(int argc, char** argv)
{
    return static_cast<int>(tanager::run_program<tanager::entry_settings>("tanager-entry",
                                                                          "Takes callers' requests.",
                                                                          argc,
                                                                          argv,
                                                                          tanager::load_entry_settings,
                                                                          tanager::create_entry));
}
