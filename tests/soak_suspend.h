#ifndef CW_TEST_SOAK_SUSPEND_H
#define CW_TEST_SOAK_SUSPEND_H
/* Simulates the suspension of a host's machine in a soak: each host is started with the clock of soak_clock.c, which
   reads the total time of suspension from a file. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "../tools/soak_site.h"

/* Path of the file from which a host's clock reads its total time of suspension. */
static inline void soak_suspend_path(const proc_t* p, char* out, size_t size) {
    snprintf(out, size, "%s/%s.sleep", p->soak->dir, p->name);
}

/* Sets the environment for the clock. Called in the host's process before its program is loaded. */
static inline void soak_suspend_prepare(const proc_t* p) {
    char path[192];
    char file[192];
    snprintf(path, sizeof(path), "%s/soak-clock.so", p->soak->build_dir);
    soak_suspend_path(p, file, sizeof(file));
    setenv("LD_PRELOAD", path, 1);
    setenv("CHALKWAY_SOAK_SLEEP", file, 1);
}

/* Writes the total time of suspension of the host to its file. */
static inline void soak_suspend_write(const proc_t* p) {
    char path[192];
    soak_suspend_path(p, path, sizeof(path));
    FILE* file = fopen(path, "w");
    if (!file) {
        perror(path);
        return;
    }
    fprintf(file, "%" PRId64, p->suspended_total_ms);
    fclose(file);
}

#endif
