#ifndef CW_TOOLS_SOAK_SITE_H
#define CW_TOOLS_SOAK_SITE_H
/*
    Starts and stops the processes of a soak and publishes the configuration to them (soak_site.c), and injects faults
    into them on a seeded schedule (soak_faults.c), beside series of releases (soak_releases.c).
*/
#include <ev.h>
#include <sys/types.h>

#include "../io/buffer.h"
#include "../io/client.h"
#include "soak.h"

#define SOAK_PROCS_MAX 512
#define SOAK_FAULTS_MAX 512
#define SOAK_GRACE_MS 4000    /* grace time on stop, in the hosts' settings */
#define SOAK_DRAIN_MS 2000    /* drain time of leaving servers, in the hosts' settings */
#define SOAK_CALLER_PORT 7100 /* first port of a host; all hosts use the same ports, each on its own address */

typedef enum proc_kind_t { PROC_SOURCE, PROC_UPSTREAM, PROC_HOST, PROC_CALLERS } proc_kind_t;

typedef struct soak_t soak_t;
typedef struct proc_t proc_t;

struct proc_t {
    soak_t* soak;
    proc_kind_t kind;
    pid_t pid; /* 0: the process has exited */
    char name[32];
    char address[48]; /* of a stand-in, set once it is ready */
    bool is_engine, is_leaving, is_ready, is_stopping;
    uint32_t version;           /* of an upstream's software */
    bool has_stale_entry;       /* an upstream that exited but is still published */
    proc_t* replaces;           /* of an upstream: its predecessor with the same id, published until it is ready */
    bool keeps_address;         /* it listens where its predecessor did */
    bool is_silent;             /* an upstream that is stopped for a while by a fault "silences" */
    ev_timer restart_timer;     /* of an upstream that a query of death crashed: until its restart */
    int64_t started_ms;         /* of an upstream, published in its entry */
    int64_t suspended_since_ms; /* of a suspended host: start of the suspension */
    int64_t suspended_total_ms; /* of a host: total time that its monotonic clock omits */
    ev_child child;
    ev_io output; /* standard output of stand-ins and callers */
    int out_fd;
    cw_buffer_t line;
};

typedef struct active_fault_t {
    soak_t* soak;
    const struct fault_kind_t* kind; /* NULL: unused entry */
    proc_t* target;
    ev_timer timer;
} active_fault_t;

/* A series of releases of the engines' software within one fault phase, with losses of all hosts. */
typedef struct soak_releases_t {
    ev_timer timer;
    bool is_in_place;        /* upstreams start again under their id and address; otherwise others take their place */
    bool loses_hosts_at_end; /* all hosts are lost soon after the last engine of an earlier version begins to leave */
    bool takes_source_away;  /* the source is down when all hosts are lost, and returns after them */
    uint32_t remaining;      /* releases after the current one */
    uint32_t steps_to_loss;  /* engines to replace until all hosts are lost, 0: not in the middle of a release */
    int64_t step_ms;         /* from one engine to the next */
} soak_releases_t;

struct soak_t {
    struct ev_loop* loop;
    cw_client_t* client;
    const char* build_dir;
    char dir[64];
    char address_prefix[16]; /* first three bytes of the hosts' addresses, "127.A.B" */
    uint64_t seed, draw_count;
    uint32_t version; /* of upstreams that start from now on */
    uint32_t duration_s, host_count, engine_count, service_count, caller_count, qod_body_count, qod_part_count;
    double requests_per_s;
    bool keeps_dir;
    const char* record_path; /* record to check instead of running a soak, or NULL */
    proc_t procs[SOAK_PROCS_MAX];
    uint32_t proc_count, name_count;
    active_fault_t active_faults[SOAK_FAULTS_MAX];
    soak_releases_t releases;
    uint32_t phase_count; /* fault phases so far */
    cw_buffer_t record;
    proc_t *source, *caller_proc;
    int64_t revision;
    int64_t servers_revision; /* of the last published list of servers */
    int64_t faults_until_ms;
    bool is_ending;
    ev_timer next_fault_timer, phase_timer, end_timer, watch_timer;
    int64_t last_watch_ms;   /* last time that watch_timer fired, 0: never */
    uint32_t late_count;     /* times that the machine did not schedule this program in time */
    int64_t longest_late_ms; /* longest of these delays */
};

/* -- soak_site.c ---------------------------------------------------------- */

/* Returns the next random number of the seeded schedule. */
uint64_t soak_random(soak_t* s);
/* Appends an event of the soak ("S") to the record. */
void soak_record_event(soak_t* s, const char* fmt, ...) __attribute__((format(printf, 2, 3)));
/* Starts to record delays in the scheduling of this program as faults of the machine: the behaviour of the other
   processes proves nothing at that time. */
void soak_watch_scheduling(soak_t* s);
/* Restarts the timer to fire once after ms. */
void soak_start_timer(soak_t* s, ev_timer* t, int64_t ms);
/* Sends a POST to a stand-in and ignores the response. */
void soak_post(soak_t* s, const char* address, const char* path, const char* body);
/* Publishes a new revision of the catalog. */
void soak_publish_catalog(soak_t* s);
/* Publishes the list of servers: the running ones and those with a stale entry. */
void soak_publish_servers(soak_t* s);
/* Starts the configuration source and waits until it is ready. */
void soak_start_source(soak_t* s);
void soak_start_upstream(soak_t* s, bool is_engine);
/* Starts a new process under the name of an upstream that has exited. Its entry stays published, if it is, until the
   new one is ready. */
void soak_restart_upstream(proc_t* previous);
/* The same, at the address of the previous process. */
void soak_restart_upstream_in_place(proc_t* previous);
/* Starts host number i, counted from 0. */
void soak_start_host(soak_t* s, uint32_t i);
void soak_restart_host(proc_t* p);
/* Writes the host's settings file. */
void soak_write_settings(const proc_t* p, uint32_t lookup_keep_ms);
/* Continues a stopped host (SIGSTOP) as if its machine had been suspended meanwhile. */
void soak_resume_host(proc_t* p);
/* Cuts the host off from all upstreams that run now, or ends that. */
void soak_set_host_cut(const proc_t* p, bool is_cut);
void soak_start_callers(soak_t* s);
/* Kills all processes that the soak started, by their ids. */
void soak_kill_processes(soak_t* s);
/* Writes the name of the process in the record; a host is named by its caller address. */
void soak_format_proc_name(const proc_t* p, char* out, size_t size);

/* -- soak_faults.c -------------------------------------------------------- */

/* Injects faults from now on, until faults_until_ms. */
void soak_faults_begin(soak_t* s);
/* Injects no further faults; active ones end as scheduled. */
void soak_faults_stop(soak_t* s);
/* Begins a fault of this name, for this time at most, unless the target is NULL. */
void soak_begin_fault(soak_t* s, const char* name, proc_t* target, int64_t duration_ms);
/* Returns whether a fault of the process is active. */
bool soak_is_target(const soak_t* s, const proc_t* p);
/* Kills all hosts at the same moment, to start again some time later. takes_source_away: the source goes down with them
   and returns after them. */
void soak_lose_all_hosts(soak_t* s, bool takes_source_away);
/* Takes the source away for this time; if it is away, for this time from now on at least. */
void soak_take_source_away(soak_t* s, int64_t duration_ms);

/* -- soak_releases.c ------------------------------------------------------ */

/* Begins the series of releases of a fault phase. */
void soak_releases_begin(soak_t* s);
void soak_releases_stop(soak_t* s);

#endif
