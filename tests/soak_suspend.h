#ifndef CW_TEST_SOAK_SUSPEND_H
#define CW_TEST_SOAK_SUSPEND_H
/* Simulates the suspension of a host's machine in a soak, and a network that is cut between the host and the upstreams:
   each host is started with the clock of soak_clock.c and the connections of cut_network.c, which read files. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../tools/soak_site.h"

#define SOAK_CLOSED_PORT 1 /* nothing listens there */

/* Path of the file from which a host's clock reads its total time of suspension. */
static inline void soak_suspend_path(const proc_t* p, char* out, size_t size) {
    snprintf(out, size, "%s/%s.sleep", p->soak->dir, p->name);
}

/* Path of the file that says where the host's connections go; see cut_network.c. */
static inline void soak_network_path(const proc_t* p, char* out, size_t size) {
    snprintf(out, size, "%s/%s.network", p->soak->dir, p->name);
}

/* Sets the environment for the clock and the network. Called in the host's process before its program is loaded. */
static inline void soak_suspend_prepare(const proc_t* p) {
    char libraries[384];
    char file[192];
    const char* build = p->soak->build_dir;
    snprintf(libraries, sizeof(libraries), "%s/soak-clock.so:%s/cut-network.so", build, build);
    setenv("LD_PRELOAD", libraries, 1);
    soak_suspend_path(p, file, sizeof(file));
    setenv("CHALKWAY_SOAK_SLEEP", file, 1);
    soak_network_path(p, file, sizeof(file));
    setenv("CHALKWAY_CUT_NETWORK", file, 1);
}

/* From now on, new connections of the host to the upstreams that run now are refused. */
static inline void soak_cut_network(const proc_t* host) {
    char path[192];
    soak_network_path(host, path, sizeof(path));
    FILE* file = fopen(path, "w");
    if (!file) {
        perror(path);
        return;
    }
    fprintf(file, "%d", SOAK_CLOSED_PORT);
    for (uint32_t i = 0; i < host->soak->proc_count; i++) {
        const proc_t* p = &host->soak->procs[i];
        if (p->kind == PROC_UPSTREAM && p->pid && p->is_ready) {
            fprintf(file, " %s", strchr(p->address, ':') + 1);
        }
    }
    fclose(file);
}

static inline void soak_restore_network(const proc_t* host) {
    char path[192];
    soak_network_path(host, path, sizeof(path));
    remove(path);
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
