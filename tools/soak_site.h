#ifndef CW_TOOLS_SOAK_SITE_H
#define CW_TOOLS_SOAK_SITE_H
/*
    The real processes of one soak and what is published to them (soak_site.c), and the faults that are brought about on
    them by a seeded schedule (soak_faults.c).
*/
#include <ev.h>
#include <sys/types.h>

#include "../io/buffer.h"
#include "../io/client.h"
#include "soak.h"

#define SOAK_PROCS_MAX 512
#define SOAK_FAULTS_MAX 512
#define SOAK_GRACE_MS 4000    /* of the hosts' settings */
#define SOAK_DRAIN_MS 2000    /* of the hosts' settings */
#define SOAK_CALLER_PORT 7100 /* the hosts' ports, each on an address of its own */

typedef enum proc_kind_t { PROC_SOURCE, PROC_UPSTREAM, PROC_HOST, PROC_CALLERS } proc_kind_t;

typedef struct soak_t soak_t;

typedef struct proc_t {
    soak_t* soak;
    proc_kind_t kind;
    pid_t pid; /* 0: ended */
    char name[32];
    char address[48]; /* of stand-ins, once ready */
    bool is_engine, is_leaving, is_ready, is_stopping;
    bool has_stale_entry;       /* an upstream that ended, and is still listed */
    ev_timer restart_timer;     /* of an upstream that a request ended: it starts again */
    int64_t started_ms;         /* of an upstream, told with its entry */
    int64_t suspended_since_ms; /* of a host that is suspended: since then */
    int64_t suspended_total_ms; /* of a host: all the time that its monotonic clock leaves out */
    ev_child child;
    ev_io output; /* lines of stand-ins and callers */
    int out_fd;
    cw_buffer_t line;
} proc_t;

typedef struct active_fault_t {
    soak_t* soak;
    const struct fault_kind_t* kind; /* NULL: unused */
    proc_t* target;
    ev_timer timer;
} active_fault_t;

struct soak_t {
    struct ev_loop* loop;
    cw_client_t* client;
    const char* build_dir;
    char dir[64];
    char address_prefix[16]; /* "127.A.B", of the hosts' addresses */
    uint64_t seed, draw_count;
    uint32_t duration_s, host_count, engine_count, service_count, caller_count, qod_body_count;
    double requests_per_s;
    bool keeps_dir;
    const char* record_path; /* to be judged, NULL: a soak is run */
    proc_t procs[SOAK_PROCS_MAX];
    uint32_t proc_count, name_count;
    active_fault_t active_faults[SOAK_FAULTS_MAX];
    cw_buffer_t record;
    proc_t *source, *caller_proc;
    int64_t revision;
    int64_t faults_until_ms;
    bool is_ending;
    ev_timer next_fault_timer, phase_timer, end_timer, watch_timer;
    int64_t last_watch_ms;   /* when watch came last, 0: not yet */
    uint32_t late_count;     /* the machine let this program wait */
    int64_t longest_late_ms; /* the longest time of these */
};

/* -- soak_site.c ---------------------------------------------------------- */

/* The next number of the schedule's seed. */
uint64_t soak_random(soak_t* s);
/* Adds an event to the record. */
void soak_record_event(soak_t* s, const char* fmt, ...) __attribute__((format(printf, 2, 3)));
/* From now on notes as a fault when the machine lets this program wait: what the others did then proves nothing. */
void soak_watch_scheduling(soak_t* s);
/* Starts the timer anew. */
void soak_start_timer(soak_t* s, ev_timer* t, int64_t ms);
/* Tells a stand-in something; what it answers doesn't matter. */
void soak_post(soak_t* s, const char* address, const char* path, const char* body);
/* A new revision of the configuration, and the servers that live now. */
void soak_publish_catalog(soak_t* s);
void soak_publish_servers(soak_t* s);
/* Starts the source and waits until it answers. */
void soak_start_source(soak_t* s);
void soak_start_upstream(soak_t* s, bool is_engine);
/* Starts the upstream, which has ended, again under its name. */
void soak_restart_upstream(proc_t* previous);
/* Starts host number i, from 0. */
void soak_start_host(soak_t* s, uint32_t i);
void soak_restart_host(proc_t* p);
/* Writes the host's settings file. */
void soak_write_settings(const proc_t* p, uint32_t lookup_keep_ms);
/* Lets a host that was stopped go on as if its machine had been suspended meanwhile. */
void soak_resume_host(proc_t* p);
void soak_start_callers(soak_t* s);
/* Ends all processes that were started, by their ids. */
void soak_kill_processes(soak_t* s);
/* What the record calls the process: hosts by the address that callers know. */
void soak_format_proc_name(const proc_t* p, char* out, size_t size);

/* -- soak_faults.c -------------------------------------------------------- */

/* Faults come from now on, until faults_until_ms. */
void soak_faults_begin(soak_t* s);
/* No new one begins; those at hand end in their time. */
void soak_faults_stop(soak_t* s);

#endif
