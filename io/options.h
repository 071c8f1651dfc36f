#ifndef CW_IO_OPTIONS_H
#define CW_IO_OPTIONS_H
/* Command line of a daemon, parsed with argp: -c FILE names the settings file, --check validates it and exits. */
#include <stdbool.h>

typedef struct cw_options_t {
    const char* settings; /* path of the settings file */
    bool check;           /* only validate the settings file */
} cw_options_t;

/* Exits with EX_USAGE on an invalid command line, and with status 0 after printing --help or --version. purpose is the
   one-line description in --help. */
cw_options_t cw_options_parse(int argc, char** argv, const char* version, const char* purpose);

#endif
