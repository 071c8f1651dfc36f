#ifndef CW_IO_OPTIONS_H
#define CW_IO_OPTIONS_H
/* The command line of a daemon, by argp: -c FILE names the settings, --check reads them and ends. */
#include <stdbool.h>

typedef struct cw_options_t {
    const char* settings; /* path of the settings file */
    bool check;
} cw_options_t;

/* Ends the process with EX_USAGE, its usage or its version where the line asks for that. */
cw_options_t cw_options_parse(int argc, char** argv, const char* version, const char* purpose);

#endif
