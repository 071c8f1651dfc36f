#ifndef CHALKWAY_BALANCE_H
#define CHALKWAY_BALANCE_H
/*
    chalkway_balance.h -- choice of a server by predicted time to the answer

    WHAT IT IS
        One daemon's view of the servers of a pool: what it runs there itself,
        what other daemons last said that they run there, and what its own
        requests taught it of each server's speed and failures. A choice takes
        the server with the least predicted time to the first byte, plus the
        delay that the new prompt puts on answers that stream there already.

        A prompt that is being read lengthens the pauses of the answers that
        stream there, the more the deeper it is. How long pauses get beside
        prompts of which depth is learned from the pool's own streams. Deep
        prompts keep away from servers whose streams they would make late, and
        streams that deep prompts would make late gather at few servers, in
        an order that all daemons see alike.

        Prompts are read one after the other, the more urgent ones first, so
        a server's backlog for an urgency is the time in which it has read all
        prompts begun there that are no less urgent. The time to read
        a token is learned from first bytes of requests (chalkway_reading.h).
        Parts of prompts that a server has read count as kept there until so
        many tokens were read after them that its memory is full.

    HOW TO USE IT
            cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.hall = hall, .seed = host});
            cw_balance_set(b, now_ms, specs, count);
            cw_choice_t c = cw_balance_choose(b, now_ms, &work, tried, tried_count);
            if (c.server != CW_BALANCE_NONE) {
                cw_run_t run = cw_balance_begin(b, now_ms, c.server, &work);
                cw_balance_first(b, now_ms, &run);
                cw_balance_end(b, now_ms, &run, CW_TRY_SERVED);
            }

    WHAT IT DOES NOT DO
        No sockets, no queue. Messages between daemons: see chalkway_load.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_backlog.h"
#include "chalkway_contention.h"
#include "chalkway_gaps.h"
#include "chalkway_holding.h"
#include "chalkway_home.h"
#include "chalkway_limit.h"
#include "chalkway_prefix.h"
#include "chalkway_rate.h"
#include "chalkway_reading.h"
#include "chalkway_rest.h"
#include "chalkway_suspect.h"

#define CW_BALANCE_NONE UINT32_MAX
#define CW_WORK_PARTS 8

/* A server as published. */
typedef struct cw_server_spec_t {
    uint64_t id;   /* of this life of the server */
    uint64_t hall; /* id of the hall's name */
    uint32_t slots;
    uint32_t memory_tokens; /* 0: not an engine */
    uint32_t cold_ms;       /* it stays slow for so long from now */
    double cold_per_s;      /* requests a second that it bears meanwhile from all daemons together, 0: no limit */
    double move_ms;         /* to fetch one token of a kept prompt from another server, 0: it can't */
} cw_server_spec_t;

/* What a request asks of a server. All zero for a plain call. */
typedef struct cw_work_t {
    uint32_t urgency; /* as engines are told it: 0 is read first and preempted last */
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    uint32_t target_ms; /* to the first byte */
    uint32_t gap_ms;    /* longest pause between events, 0: no matter */
    bool repeatable;    /* it may be tried at a server that failed lately */
    bool late;          /* it waited for a place until it could hardly be in time (chalkway_turn.h) */
    bool light;         /* its kind needs next to nothing, see cw_balance_light */
    uint64_t spread;    /* not 0: the server follows from this number and not from the cost */
    uint32_t part_count;
    cw_work_part_t parts[CW_WORK_PARTS]; /* the start of the prompt */
} cw_work_t;

/* What one daemon has at one server. */
typedef struct cw_load_t {
    uint32_t running;
    uint32_t gap_ms;    /* shortest of the longest pauses that streamed answers there may make, 0: none */
    uint32_t streaming; /* streamed answers that may pause no longer than that */
    uint32_t backlog_ms[CW_URGENCIES]; /* time to read the prompts of this urgency and before that have no answer yet */
    uint32_t deepest;                  /* tokens of the longest of these prompts */
    uint32_t tokens;                   /* memory that the running ones hold or will hold */
    uint32_t pace_us;                  /* learned time between events there while no prompt is read, 0: unknown */
    uint32_t failed_ago_ms;            /* since a connection of its own to the server last failed, 0: not lately */
    uint32_t alive_ago_ms;             /* since it last sent a request there that was answered, 0: not lately */
    cw_rate_said_t rate;               /* what its own answers said of the server's rate lately */
    uint32_t rate_per_ks;              /* that rate, requests in 1,000 s */
    uint32_t rate_ago_ms;              /* since it was true */
} cw_load_t;

/* The urgency by which its turn for a place goes: late, it goes behind all and keeps nobody else from one. */
static inline uint32_t cw_work_turn_urgency(const cw_work_t* work) {
    return work->late ? CW_URGENCIES - 1 : work->urgency;
}

typedef enum cw_try_result_t {
    CW_TRY_SERVED = 0,  /* the whole answer came */
    CW_TRY_FAILED,      /* silence, spoilt bytes or an error of the server */
    CW_TRY_BROKEN,      /* the connection broke before the end: the server may be gone */
    CW_TRY_UNREACHABLE, /* no connection came up */
    CW_TRY_FULL,        /* the server said that it has no room and did not run it */
    CW_TRY_CANCELLED    /* ended by this side: says nothing of the server */
} cw_try_result_t;

/* A request that runs at a server. */
typedef struct cw_run_t {
    uint32_t server; /* CW_BALANCE_NONE: none */
    uint64_t id;     /* of the server, so that a run that outlives it does no harm */
    int64_t begun_ms;
    uint32_t urgency;
    double read_ms; /* predicted time to read the prompt */
    cw_backlog_plan_t plan;
    double found_ms; /* backlog found there, of all urgencies: an engine may end a piece of any prompt first */
    bool quiet;      /* nothing was known there that the prompt might have waited for */
    uint32_t fresh_tokens;
    uint32_t tokens;
    uint32_t gap_ms;
    bool answered;
    int64_t event_ms; /* last event of the answer */
    uint32_t beside;  /* tokens of the longest prompt being read beside it then */
} cw_run_t;

/* Servers that were left out of a choice, by why: each counts once, by the first reason. */
typedef struct cw_left_out_t {
    uint32_t tried;     /* this request was there */
    uint32_t away;      /* no connection comes up, or it said that it is full */
    uint32_t cold;      /* gets no more now than it bears */
    uint32_t resting;   /* it wants nothing from this host for a while */
    uint32_t limited;   /* gets no more now, from this host or at all, by the rate that it named */
    uint32_t suspected; /* another host's turn to try it */
    uint32_t no_place;  /* none free for this work, or for this host now */
} cw_left_out_t;

/* A server and the inputs that chose it. */
typedef struct cw_choice_t {
    uint32_t server;     /* CW_BALANCE_NONE: none has room */
    uint64_t id;         /* of the server */
    double cost_ms;      /* what was compared */
    double reserved;     /* free places that were left to work that goes before, over all servers */
    double wait_ms;      /* backlog of the server for the work's urgency, all daemons */
    double read_ms;      /* for this prompt */
    uint32_t running;    /* at the server, all daemons */
    uint32_t age_ms;     /* of the oldest news of other daemons that counted */
    uint32_t kept;       /* tokens of the prompt taken as kept there */
    uint64_t from;       /* id of a server to fetch more of the prompt from, 0: none */
    uint32_t moved;      /* tokens that it would give */
    uint32_t again;      /* tokens that another server keeps and that are read again here all the same */
    uint32_t streaming;  /* streams at the server that may pause least */
    uint32_t candidates; /* servers that had room */
    cw_left_out_t left_out;
    double pace; /* the server's time between events against the fastest one's, 1 while unknown */
    bool late;   /* whatever server: too much stands before it, see cw_balance_choose */
} cw_choice_t;

typedef struct cw_balance_desc_t {
    uint64_t hall;        /* id of the own hall, preferred when all else is equal */
    uint64_t seed;        /* own host: spreads equal choices */
    uint32_t max_servers; /* default 256; memory is taken as they come */
    uint32_t max_peers;   /* daemons whose news is kept for one server, default 128 */
    uint32_t max_parts;   /* prompt parts remembered, default 131072 */
    uint32_t news_ms;     /* news of another daemon counts for so long, default 1500 */
    uint32_t away_ms;     /* first pause of a server that can't be reached, default 250 */
    uint32_t away_max_ms; /* longest such pause, default 4000 */
    /* Whether this daemon, and no other one, sends to the server while it is cold; NULL: it does. */
    bool (*is_mine)(void* user_data, uint64_t server);
    void* user_data;
    cw_allocator_t allocator;
} cw_balance_desc_t;

/* Hosts that live. */
typedef struct cw_fleet_t {
    const uint64_t* ids;
    uint32_t count;
    uint32_t missing;   /* others that vanished without a sign of an end: they may be cut off and go on */
    uint32_t reach_ms;  /* until news of a request has reached all */
    uint32_t direct_ms; /* until it has reached the other home hosts of the server (chalkway_home.h) */
} cw_fleet_t;

/* Servers that hold callers back now. */
typedef struct cw_held_back_t {
    uint32_t resting; /* they asked this host for rest */
    uint32_t limited; /* they named a rate */
    uint32_t owned;   /* of these, this host owns a part of it */
} cw_held_back_t;

typedef struct cw_balance_t cw_balance_t;

cw_balance_t* cw_balance_setup(const cw_balance_desc_t* desc);
void cw_balance_shutdown(cw_balance_t* b);
/* Replaces the servers that may be chosen; those that stay keep what is known of them. CW_ERR_FULL when too many. */
cw_status_t cw_balance_set(cw_balance_t* b, int64_t now_ms, const cw_server_spec_t* specs, uint32_t count);
/* Index of a server; CW_BALANCE_NONE when it is not there. */
uint32_t cw_balance_find(const cw_balance_t* b, uint64_t id);
/* The hosts that live, this one among them. The ids are kept as they are given: they must outlive the balance, or the
   next call. */
void cw_balance_set_fleet(cw_balance_t* b, int64_t now_ms, const cw_fleet_t* fleet);
/* A new request for the pool came. */
void cw_balance_asked(cw_balance_t* b, int64_t now_ms, const cw_work_t* work);
/* Whether the work is of a kind that needs next to nothing of the pool: few of its places, by what comes and for how
   long it holds them, for prompts that are short beside the longest kind's. */
bool cw_balance_light(const cw_balance_t* b, int64_t now_ms, const cw_work_t* work);
/* Whether the work may take its time: its target is far longer than the pool's shortest one. */
bool cw_balance_patient(const cw_balance_t* b, const cw_work_t* work);
/* So many requests of this host and urgency wait for a place. */
void cw_balance_waiting(cw_balance_t* b, int64_t now_ms, uint32_t urgency, uint32_t count);
/* Best server for the work, leaving out those tried. A server is left out, where there is another one, when its backlog
   for the work's urgency is longer than the work's patience: so many of its targets. A long prompt, which stands before
   others, is also taken to be late where more urgent work would be: it doesn't begin while that is refused. The
   work's own reading makes it late nowhere: late, it is still of use. No server where the free places will be taken by
   work that goes before this one, sooner than this one gives its own back. */
cw_choice_t cw_balance_choose(cw_balance_t* b, int64_t now_ms, const cw_work_t* work, const uint64_t* tried,
                              uint32_t tried_count);
cw_run_t cw_balance_begin(cw_balance_t* b, int64_t now_ms, uint32_t server, const cw_work_t* work);
/* The first byte of the answer came. True: the server was suspected to be gone and is not, which the others wait to
   hear. */
bool cw_balance_first(cw_balance_t* b, int64_t now_ms, cw_run_t* run);
/* A further event of a streamed answer came. */
void cw_balance_event(cw_balance_t* b, int64_t now_ms, cw_run_t* run);
void cw_balance_end(cw_balance_t* b, int64_t now_ms, cw_run_t* run, cw_try_result_t result);
/* This daemon has a connection at rest to the server (true), or none: a request would open one. */
void cw_balance_warm(cw_balance_t* b, uint64_t id, bool warm);
/* The server is known to be away (true) or to be back. */
void cw_balance_away(cw_balance_t* b, int64_t now_ms, uint64_t id, bool away);
/* An answer of the server that has just come names a rate at which it takes requests from all hosts together; its
   request was sent at sent_ms. per_s < 0: it names none. True: what is in force changed. */
bool cw_balance_limit(cw_balance_t* b, int64_t now_ms, uint64_t id, int64_t sent_ms, double per_s);
/* The rate in force, requests a second of all hosts together, < 0: none. */
double cw_balance_limit_per_s(const cw_balance_t* b, int64_t now_ms, uint64_t id);
/* The server wants nothing from this host for so long. */
void cw_balance_rest(cw_balance_t* b, int64_t now_ms, uint64_t id, uint32_t ms);
/* Whether it does so now. */
bool cw_balance_rests(const cw_balance_t* b, int64_t now_ms, uint64_t id);
/* Time until one of the servers takes a request from this host, where all of them hold callers back; 0: some don't, or
   it isn't known. */
uint32_t cw_balance_opens_in_ms(const cw_balance_t* b, int64_t now_ms);
cw_held_back_t cw_balance_held_back(const cw_balance_t* b, int64_t now_ms);
/* Whether this host's own answers said something of the server's rate that the others are still to be told. */
bool cw_balance_tells_limit(const cw_balance_t* b, int64_t now_ms, uint64_t id);
/* Whether the server is suspected to be gone by what all daemons saw of it. */
bool cw_balance_suspected(const cw_balance_t* b, int64_t now_ms, uint64_t id);
/* A server that is away and may be probed now; its next pause begins. 0: none. */
uint64_t cw_balance_probe(cw_balance_t* b, int64_t now_ms);
/* What this daemon has at the server. */
cw_load_t cw_balance_load(const cw_balance_t* b, int64_t now_ms, uint32_t server);
/* What another daemon has there. */
void cw_balance_news(cw_balance_t* b, int64_t now_ms, uint64_t peer, uint64_t server, const cw_load_t* load);
/* Another daemon sent a prompt with this part there. */
void cw_balance_kept(cw_balance_t* b, uint64_t server, const cw_work_part_t* part);
/* Share 0..1 of the places that are taken, as far as known, of the servers that don't hold callers back; 1 when there
   are none. */
double cw_balance_fullness(const cw_balance_t* b, int64_t now_ms);
/* Learned target, ms, of the work that can wait least, 0: none was seen. */
double cw_balance_shortest_target(const cw_balance_t* b);
/* This host's runs at the pool, by urgency. */
const cw_holding_t* cw_balance_holding(const cw_balance_t* b);
/* Learned pause between events beside a prompt of so many tokens, ms. */
double cw_balance_pause(const cw_balance_t* b, uint32_t tokens);
/* Learned ms to read one token. */
double cw_balance_read_rate(const cw_balance_t* b);

#endif /* CHALKWAY_BALANCE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_BALANCE_IMPL_INCLUDED
#define CHALKWAY_BALANCE_IMPL_INCLUDED

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "chalkway_map.h"
#include "chalkway_pause.h"

#define _CW_COLD_SHARE 0.8  /* of what a cold server bears: two daemons may take it for their own for a moment */
#define _CW_COLD_BURST 2.0  /* requests that it may get at once */
#define _CW_QUIET_SHARE 0.5 /* of an engine's slots: with more running a prompt may wait for a place */
#define _CW_SERVICE_MS 50.0 /* time of a plain call, before anything was learned */
#define _CW_SPEED_LEARN 0.2 /* weight of a new sample of a server's own slowness */
#define _CW_SPEED_MAX 20.0  /* a server is never taken as slower than this many times the others */
#define _CW_SPEED_FORGET_MS 10000.0 /* time in which a server's slowness is forgotten by two thirds */
#define _CW_FAIL_LEARN 0.25         /* weight of a new failure or success */
#define _CW_FAIL_FORGET_MS 4000.0
#define _CW_FAIL_MIN_MS 200.0 /* least time that a failure is taken to cost */
#define _CW_HALL_MS 10.0    /* what another hall costs, as much as a new connection: bytes between halls, and the way */
#define _CW_CONNECT_MS 10.0 /* what a new connection costs: time, and a place at the server */
#define _CW_DEEP_UP 0.1     /* the length of deep prompts is learned as a high quantile */
#define _CW_DEEP_DOWN 0.005
#define _CW_GATHER_SHARE 0.1 /* of the target: what each further place in the order costs a stream easily hurt */
/* Of the slots, that work with a long target leaves to work with a short one, the more of it the longer the target. */
#define _CW_PATIENT_SHARE 0.4
#define _CW_PATIENT_FROM 2.0 /* times the shortest target */
/* Of the places: a kind that needs fewer goes before all. */
#define _CW_LIGHT_SHARE 0.1
#define _CW_SHORT_DOWN 0.1 /* the short targets are learned as a low quantile */
#define _CW_SHORT_UP 0.005
#define _CW_PATIENCE_DEEP 1.0  /* targets that a long prompt waits for others: it stands before others itself */
#define _CW_PATIENCE_SHORT 3.0 /* the same for others, which hold up nobody: late, they are still of use */
#define _CW_PATIENCE_UP 0.005  /* the patience of an urgency is learned as a low quantile */
#define _CW_PATIENCE_DOWN 0.2
#define _CW_DEEP_SHARE 0.25   /* of the learned length of deep prompts, from which a prompt is one */
#define _CW_DEEP_WAIT 0.1     /* weight of the backlog that one deep prompt found */
#define _CW_UNREAD_FACTOR 1.2 /* times the reading known to be left at a server, that may be left: news is late */
#define _CW_UNREAD_MS 20.0    /* the same, beside: the usual pause between events */
#define _CW_PACE_LEARN 0.05   /* weight of a new sample of a server's pace */
#define _CW_PACE_FEW 20       /* fewer samples say nothing */
#define _CW_PACE_SLOW 1.15    /* a server whose pace is so many times the fastest one's comes last in the order */
#define _CW_PACE_RUNS 8       /* only with so few running is a server's pace learned */
#define _CW_RUN_MS 0.5        /* how much a run slows the others of an engine */
#define _CW_REREAD 20.0       /* times its reading that a part costs which another server has read already */
#define _CW_MOVE 20.0         /* times its duration that a move costs: it is not free for others */
#define _CW_MOVE_FEW 256      /* fewer tokens are not worth a move */
/* Times the fetching of its shared parts that a prompt costs more at a server that neither keeps nor owns them. */
#define _CW_STRAY 8.0
#define _CW_FULL_MS 1000.0    /* what a server costs whose memory would overflow */
#define _CW_MEMORY_SHARE 0.9  /* of a server's memory that is planned with */
#define _CW_KEPT_SHARE 0.6    /* of a server's memory that old prompt parts are taken to keep */
#define _CW_HOME_FREE 0.5     /* of an engine's slots: more being free, any host may use it; fewer are for its homes */
#define _CW_SUSPECT_SHARE 0.5 /* of a pool's servers: with more of them suspected, it is not the servers that fail */
#define _CW_SERVERS_ROOM 64   /* servers for which there is memory, to begin with */
#define _CW_NEWS_ROOM 4       /* pieces of news of a server, to begin with */
#define _CW_NEWS_OLD_MS 2000  /* what another daemon says happened longer ago could no longer count */
#define _CW_FULL_PAUSE_MS 100 /* a server that said it is full is left out for so long */

typedef struct _cw_news_t {
    uint64_t peer;
    int64_t at_ms;
    cw_load_t load;
} _cw_news_t;

typedef struct _cw_server_t {
    cw_server_spec_t spec;
    bool used;         /* the place holds a server */
    bool listed;       /* it may be chosen */
    uint32_t position; /* in the order that all daemons see alike */
    uint32_t running;
    cw_gaps_t gaps; /* own streams that have begun */
    uint64_t tokens;
    cw_backlog_t backlog; /* own prompts, from sending to the first byte */
    uint32_t deepest;     /* tokens of the longest prompt among them; 0 when there are none */
    double pace_ms;       /* learned time between events while nothing is read there, 0: unknown */
    uint32_t pace_samples;
    double slow;     /* 1: as the others */
    int64_t slow_ms; /* when slow was learned */
    double fail;     /* 0..1 */
    int64_t fail_ms;
    bool warm; /* a connection rests */
    bool away;
    uint32_t away_ms;
    int64_t away_until_ms;
    int64_t full_until_ms;
    bool home;             /* this host may take its last places; judged at: */
    uint64_t home_changes; /* of the fleet, 0: not yet */
    cw_suspect_t life;     /* what all hosts know */
    int64_t own_failed_ms; /* what this host saw itself, and tells, 0: nothing */
    int64_t own_alive_ms;
    cw_rate_t rate;
    cw_rest_t rest; /* that it asked this host for */
    int64_t cold_until_ms;
    cw_bucket_t cold;     /* what it may get until then */
    uint64_t read_tokens; /* all that was read there, as far as known */
    _cw_news_t* news;     /* of daemons that have something there; most servers of a large pool have none */
    uint32_t news_count, news_room;
} _cw_server_t;

/* A listed server and what it is sorted by. */
typedef struct _cw_order_t {
    uint64_t key;
    uint32_t at;
} _cw_order_t;

struct cw_balance_t {
    cw_balance_desc_t desc;
    _cw_server_t* servers;
    _cw_order_t* order; /* room to sort the servers */
    cw_map_t index;     /* id to place */
    uint32_t capacity;  /* servers for which there is memory */
    uint32_t places;
    uint32_t away;       /* servers that are */
    uint32_t first_free; /* no place before it is */
    uint32_t listed;
    cw_kept_t* kept;
    cw_fleet_t fleet;
    uint64_t fleet_changes; /* times that it was told, and one */
    cw_contention_t contention;
    cw_holding_t holding;
    cw_reading_t reading;
    double service_ms;
    uint32_t service_samples;
    cw_pauses_t pauses;
    double patience_ms[CW_URGENCIES]; /* learned patience of the work of each urgency, 0: none seen */
    double short_target_ms;           /* learned target of those that can wait least, 0: none yet */
    double deep_tokens;               /* learned length of the deep prompts */
    double deep_wait_ms;              /* backlog that deep prompts found lately */
    double pace_ms;                   /* shortest pace of a server that is known, 0: none */
};

static cw_balance_desc_t _cw_balance_desc_defaults(const cw_balance_desc_t* desc) {
    cw_balance_desc_t d = *desc;
    d.max_servers = d.max_servers ? d.max_servers : 256;
    d.max_peers = d.max_peers ? d.max_peers : 128;
    d.max_parts = d.max_parts ? d.max_parts : 131072;
    d.news_ms = d.news_ms ? d.news_ms : 1500;
    d.away_ms = d.away_ms ? d.away_ms : 250;
    d.away_max_ms = d.away_max_ms ? d.away_max_ms : 4000;
    return d;
}

cw_balance_t* cw_balance_setup(const cw_balance_desc_t* desc) {
    cw_balance_t* b = cw_alloc(&desc->allocator, 1, sizeof(*b));
    b->desc = _cw_balance_desc_defaults(desc);
    b->capacity = b->desc.max_servers < _CW_SERVERS_ROOM ? b->desc.max_servers : _CW_SERVERS_ROOM;
    b->servers = cw_alloc(&b->desc.allocator, b->capacity, sizeof(*b->servers));
    b->order = cw_alloc(&b->desc.allocator, b->capacity, sizeof(*b->order));
    b->index = cw_map_setup(b->capacity, &b->desc.allocator);
    b->kept = cw_kept_setup(b->desc.max_parts, &b->desc.allocator);
    b->reading = cw_reading_new();
    b->fleet_changes = 1;
    b->contention.seed = desc->seed;
    b->service_ms = _CW_SERVICE_MS;
    return b;
}

void cw_balance_shutdown(cw_balance_t* b) {
    cw_allocator_t allocator = b->desc.allocator;
    for (uint32_t i = 0; i < b->capacity; i++) {
        cw_free(&allocator, b->servers[i].news);
    }
    cw_map_shutdown(&b->index);
    cw_kept_shutdown(b->kept);
    cw_free(&allocator, b->order);
    cw_free(&allocator, b->servers);
    cw_free(&allocator, b);
}

/* -- the list ------------------------------------------------------------- */

uint32_t cw_balance_find(const cw_balance_t* b, uint64_t id) {
    uint32_t at = id ? cw_map_get(&b->index, id) : CW_MAP_NONE;
    return at == CW_MAP_NONE ? CW_BALANCE_NONE : at;
}

static void _cw_balance_remove(cw_balance_t* b, uint32_t at) {
    _cw_server_t* s = &b->servers[at];
    cw_map_remove(&b->index, s->spec.id);
    b->away -= s->away;
    _cw_news_t* news = s->news;
    uint32_t news_room = s->news_room;
    memset(s, 0, sizeof(*s));
    s->news = news;
    s->news_room = news_room;
    b->first_free = at < b->first_free ? at : b->first_free;
}

/* Takes memory for twice as many servers, up to max_servers. */
static void _cw_balance_grow(cw_balance_t* b) {
    const cw_allocator_t* allocator = &b->desc.allocator;
    uint32_t capacity = b->capacity < b->desc.max_servers / 2 ? 2 * b->capacity : b->desc.max_servers;
    _cw_server_t* servers = cw_alloc(allocator, capacity, sizeof(*servers));
    memcpy(servers, b->servers, b->capacity * sizeof(*servers));
    cw_free(allocator, b->servers);
    cw_free(allocator, b->order); /* made anew with each list */
    b->servers = servers;
    b->order = cw_alloc(allocator, capacity, sizeof(*b->order));
    cw_map_reserve(&b->index, capacity);
    b->capacity = capacity;
}

static uint32_t _cw_balance_add(cw_balance_t* b, uint64_t id) {
    if (b->index.count == b->capacity && b->capacity < b->desc.max_servers) {
        _cw_balance_grow(b);
    }
    for (uint32_t i = b->first_free; i < b->capacity; i++) {
        _cw_server_t* s = &b->servers[i];
        if (s->used) {
            continue;
        }
        b->first_free = i + 1;
        s->news_count = 0;
        s->used = true;
        s->slow = 1;
        s->spec.id = id;
        cw_map_put(&b->index, id, i);
        b->places = i >= b->places ? i + 1 : b->places;
        return i;
    }
    return CW_BALANCE_NONE;
}

static void _cw_balance_find_fastest(cw_balance_t* b);

static int _cw_order_compare(const void* left, const void* right) {
    uint64_t a = ((const _cw_order_t*)left)->key;
    uint64_t b = ((const _cw_order_t*)right)->key;
    return (a > b) - (a < b);
}

/* Places the servers in an order that depends on their ids only. */
static void _cw_balance_order(cw_balance_t* b) {
    b->listed = 0;
    for (uint32_t i = 0; i < b->places; i++) {
        if (b->servers[i].listed) {
            b->order[b->listed++] = (_cw_order_t){.key = cw_mix(b->servers[i].spec.id, 1), .at = i};
        }
    }
    qsort(b->order, b->listed, sizeof(*b->order), _cw_order_compare);
    for (uint32_t i = 0; i < b->listed; i++) {
        b->servers[b->order[i].at].position = i;
    }
    _cw_balance_find_fastest(b);
}

cw_status_t cw_balance_set(cw_balance_t* b, int64_t now_ms, const cw_server_spec_t* specs, uint32_t count) {
    cw_status_t status = CW_OK;
    for (uint32_t i = 0; i < b->places; i++) {
        b->servers[i].listed = false;
    }
    for (uint32_t i = 0; i < count; i++) {
        uint32_t at = cw_balance_find(b, specs[i].id);
        at = at == CW_BALANCE_NONE ? _cw_balance_add(b, specs[i].id) : at;
        if (at == CW_BALANCE_NONE) {
            status = CW_ERR_FULL;
            continue;
        }
        _cw_server_t* s = &b->servers[at];
        s->spec = specs[i];
        s->listed = true;
        s->cold_until_ms = specs[i].cold_ms ? now_ms + specs[i].cold_ms : s->cold_until_ms;
        s->cold.rate = _CW_COLD_SHARE * specs[i].cold_per_s;
        s->cold.burst = _CW_COLD_BURST;
    }
    for (uint32_t i = 0; i < b->places; i++) {
        _cw_server_t* s = &b->servers[i];
        bool holds_back = now_ms < s->rest.until_ms || cw_rate_holds(&s->rate, now_ms);
        if (s->used && !s->listed && !s->running && !holds_back) {
            _cw_balance_remove(b, i);
        }
    }
    _cw_balance_order(b);
    return status;
}

/* -- prompt parts --------------------------------------------------------- */

static cw_prefix_memory_t _cw_balance_memory(const _cw_server_t* s) {
    return (cw_prefix_memory_t){
        .server = s->spec.id, .read_tokens = s->read_tokens, .room_tokens = _CW_KEPT_SHARE * s->spec.memory_tokens};
}

/* Tokens of the prompt that the server keeps. */
static uint32_t _cw_balance_kept_tokens(const cw_balance_t* b, const _cw_server_t* s, const cw_work_t* work) {
    cw_prefix_memory_t memory = _cw_balance_memory(s);
    uint32_t tokens = cw_prefix_kept(b->kept, &memory, work->parts, work->part_count);
    return tokens < work->prompt_tokens ? tokens : work->prompt_tokens;
}

static void _cw_balance_keep(cw_balance_t* b, _cw_server_t* s, const cw_work_part_t* part) {
    cw_prefix_memory_t memory = _cw_balance_memory(s);
    if (!cw_kept_has(b->kept, s->spec.id, part->id, memory.read_tokens, memory.room_tokens)) {
        s->read_tokens += part->tokens;
    }
    cw_kept_add(b->kept, s->spec.id, part->id, s->read_tokens);
}

void cw_balance_kept(cw_balance_t* b, uint64_t server, const cw_work_part_t* part) {
    uint32_t at = cw_balance_find(b, server);
    if (at != CW_BALANCE_NONE) {
        _cw_balance_keep(b, &b->servers[at], part);
    }
}

/* -- prediction ----------------------------------------------------------- */

/* All that is known to run at a server, and the age of the oldest news that counted. */
typedef struct _cw_sum_t {
    uint32_t running, streaming, gap_ms, deepest, age_ms;
    double tokens;
    double wait_ms;    /* backlog of the urgency and before */
    double backlog_ms; /* of all */
} _cw_sum_t;

/* Adds streams: only those with the shortest pauses count. */
static void _cw_balance_add_gap(_cw_sum_t* sum, uint32_t gap_ms, uint32_t count) {
    if (!count || (sum->streaming && gap_ms > sum->gap_ms)) {
        return;
    }
    sum->streaming = sum->streaming && gap_ms == sum->gap_ms ? sum->streaming + count : count;
    sum->gap_ms = gap_ms;
}

/* Time until the own prompts there of the urgency and before are read. A plain call is not read. */
static double _cw_balance_own_backlog(const _cw_server_t* s, int64_t now_ms, uint32_t urgency) {
    return s->spec.memory_tokens ? cw_backlog_ms(&s->backlog, now_ms, urgency) : 0;
}

/* What is left of a backlog that was told so long ago. */
static double _cw_balance_left_ms(uint32_t told_ms, int64_t age_ms) {
    return told_ms > age_ms ? (double)(told_ms - age_ms) : 0;
}

/* What a request of the urgency finds there. */
static _cw_sum_t _cw_balance_sum(const cw_balance_t* b, const _cw_server_t* s, int64_t now_ms, uint32_t urgency) {
    double own_ms = _cw_balance_own_backlog(s, now_ms, CW_URGENCIES - 1);
    _cw_sum_t sum = {.running = s->running,
                     .deepest = own_ms > 0 ? s->deepest : 0,
                     .tokens = (double)s->tokens,
                     .wait_ms = _cw_balance_own_backlog(s, now_ms, urgency),
                     .backlog_ms = own_ms};
    cw_gap_t own = cw_gaps_shortest(&s->gaps);
    _cw_balance_add_gap(&sum, own.gap_ms, own.count);
    for (uint32_t i = 0; i < s->news_count; i++) {
        const _cw_news_t* n = &s->news[i];
        int64_t age_ms = now_ms - n->at_ms;
        if (age_ms > b->desc.news_ms) {
            continue;
        }
        sum.running += n->load.running;
        sum.tokens += n->load.tokens;
        _cw_balance_add_gap(&sum, n->load.gap_ms, n->load.streaming);
        sum.wait_ms += _cw_balance_left_ms(n->load.backlog_ms[urgency], age_ms);
        double all_ms = _cw_balance_left_ms(n->load.backlog_ms[CW_URGENCIES - 1], age_ms);
        if (all_ms > 0) {
            sum.backlog_ms += all_ms;
            sum.deepest = n->load.deepest > sum.deepest ? n->load.deepest : sum.deepest;
        }
        sum.age_ms = n->load.running && age_ms > sum.age_ms ? (uint32_t)age_ms : sum.age_ms;
    }
    return sum;
}

/* -- what is learned of servers ------------------------------------------- */

double cw_balance_pause(const cw_balance_t* b, uint32_t tokens) {
    return cw_pauses_expected(&b->pauses, tokens, b->reading.token_ms);
}

/* Finds the fastest server whose pace is known. */
static void _cw_balance_find_fastest(cw_balance_t* b) {
    b->pace_ms = 0;
    for (uint32_t i = 0; i < b->places; i++) {
        const _cw_server_t* other = &b->servers[i];
        bool known = other->listed && other->pace_samples >= _CW_PACE_FEW;
        b->pace_ms = known && (b->pace_ms <= 0 || other->pace_ms < b->pace_ms) ? other->pace_ms : b->pace_ms;
    }
}

/* The server's pace changed. All are searched only where it was the fastest and is so no more. */
static void _cw_balance_pace_changed(cw_balance_t* b, const _cw_server_t* s, double before_ms) {
    if (!s->listed || s->pace_samples < _CW_PACE_FEW) {
        return;
    }
    if (b->pace_ms <= 0 || s->pace_ms <= b->pace_ms) {
        b->pace_ms = s->pace_ms;
    } else if (before_ms <= b->pace_ms) {
        _cw_balance_find_fastest(b);
    }
}

static void _cw_balance_learn_pace(cw_balance_t* b, _cw_server_t* s, double pause_ms) {
    double before_ms = s->pace_ms;
    s->pace_ms += (s->pace_samples ? _CW_PACE_LEARN : 1) * (pause_ms - s->pace_ms);
    s->pace_samples++;
    _cw_balance_pace_changed(b, s, before_ms);
}

/* What another daemon has learned counts as long as this one has seen little itself. */
static void _cw_balance_hear_pace(cw_balance_t* b, _cw_server_t* s, uint32_t pace_us) {
    if (!pace_us || s->pace_samples > _CW_PACE_FEW) {
        return;
    }
    double before_ms = s->pace_ms;
    s->pace_ms = pace_us / 1000.0;
    s->pace_samples = _CW_PACE_FEW;
    _cw_balance_pace_changed(b, s, before_ms);
}

static double _cw_balance_slow(const _cw_server_t* s, int64_t now_ms) {
    double left = exp(-(double)(now_ms - s->slow_ms) / _CW_SPEED_FORGET_MS);
    return 1 + (s->slow - 1) * left;
}

static double _cw_balance_fail(const _cw_server_t* s, int64_t now_ms) {
    return s->fail * exp(-(double)(now_ms - s->fail_ms) / _CW_FAIL_FORGET_MS);
}

static double _cw_balance_fail_cost(const _cw_server_t* s, int64_t now_ms, const cw_work_t* work) {
    double loss_ms = work->target_ms > _CW_FAIL_MIN_MS ? work->target_ms : _CW_FAIL_MIN_MS;
    return _cw_balance_fail(s, now_ms) * loss_ms * (work->repeatable ? 1 : 2);
}

/* Whether the server takes what it has places for: not where it is away or holds its callers back. */
static bool _cw_balance_takes_all(const _cw_server_t* s, int64_t now_ms) {
    return s->used && s->listed && !s->away && now_ms >= s->rest.until_ms && !cw_rate_holds(&s->rate, now_ms);
}

/* Where the prompt's parts are, and belong, among the servers that may be chosen. */
static cw_prefix_t _cw_balance_prefix(const cw_balance_t* b, int64_t now_ms, const cw_work_t* work) {
    cw_prefix_t prefix = cw_prefix_new(work->parts, work->part_count);
    for (uint32_t i = 0; i < b->places && work->part_count; i++) {
        const _cw_server_t* s = &b->servers[i];
        if (s->used && s->listed && !s->away) {
            cw_prefix_see(&prefix, s->spec.id, _cw_balance_kept_tokens(b, s, work), _cw_balance_takes_all(s, now_ms));
        }
    }
    return prefix;
}

/* Tokens that the server would better fetch from the holder than read again, 0: none. */
static uint32_t _cw_balance_moved(const cw_balance_t* b, const _cw_server_t* s, const cw_prefix_t* prefix,
                                  uint32_t kept) {
    uint32_t more = prefix->held > kept ? prefix->held - kept : 0;
    bool cheaper = s->spec.move_ms > 0 && s->spec.move_ms < b->reading.token_ms;
    return cheaper && more >= _CW_MOVE_FEW ? more : 0;
}

/* A plain call: waits its share of the calls beyond the slots; a nearly full server is slower. */
static double _cw_balance_call_ms(const cw_balance_t* b, const _cw_server_t* s, const _cw_sum_t* sum) {
    double slots = s->spec.slots ? s->spec.slots : 1;
    double load = (sum->running + 1) / slots;
    return b->service_ms * (load <= 1 ? 1 + load * load : 2 * load);
}

/* The server's pace against the fastest one's, 1 while unknown. */
static double _cw_balance_pace(const cw_balance_t* b, const _cw_server_t* s) {
    bool known = s->pace_samples >= _CW_PACE_FEW && b->pace_ms > 0;
    return known ? s->pace_ms / b->pace_ms : 1;
}

/* Place in the order in which easily hurt streams fill the servers: slow ones last. */
static double _cw_balance_place(const cw_balance_t* b, const _cw_server_t* s) {
    return s->position + (_cw_balance_pace(b, s) > _CW_PACE_SLOW ? b->listed : 0);
}

/* How likely a prompt makes a stream late that may pause for gap_ms, while prompts there take unread_ms to read. */
static double _cw_balance_harm(const cw_balance_t* b, uint32_t tokens, double gap_ms, double unread_ms) {
    return cw_pauses_harm(&b->pauses, tokens, (uint32_t)gap_ms, b->reading.token_ms, unread_ms);
}

/* Ms: the streams there that the prompt makes late, as so many targets missed. What is left to be read there may be
   more than is known. */
static double _cw_balance_caused_ms(const cw_balance_t* b, const _cw_server_t* s, const _cw_sum_t* sum,
                                    const cw_work_t* work, double read_ms) {
    double unread_ms = _CW_UNREAD_FACTOR * (sum->backlog_ms + read_ms) + _CW_UNREAD_MS;
    double gap_ms = sum->gap_ms / _cw_balance_pace(b, s);
    return work->target_ms * sum->streaming * _cw_balance_harm(b, work->prompt_tokens, gap_ms, unread_ms);
}

/* Ms: the answer's own pauses beside the prompts that are read there now; they end while it is prefilled, or soon
   after, so that half counts. */
static double _cw_balance_suffered_ms(const cw_balance_t* b, const _cw_server_t* s, const _cw_sum_t* sum,
                                      const cw_work_t* work) {
    double gap_ms = work->gap_ms / _cw_balance_pace(b, s);
    return sum->deepest ? work->target_ms * _cw_balance_harm(b, sum->deepest, gap_ms, INFINITY) / 2 : 0;
}

/* Ms: what a stream that deep prompts make late does by staying there. It closes the server to deep prompts, the more
   so the fewer such streams it has already, and that costs what deep prompts wait for now. The order of places decides
   between servers alike. */
static double _cw_balance_gather_ms(const cw_balance_t* b, const _cw_server_t* s, const _cw_sum_t* sum,
                                    const cw_work_t* work) {
    double fragile = _cw_balance_harm(b, (uint32_t)b->deep_tokens, work->gap_ms, INFINITY);
    double order_ms = work->target_ms * _CW_GATHER_SHARE * _cw_balance_place(b, s);
    double blocked_ms = b->deep_wait_ms / (1 + sum->streaming);
    return fragile * (order_ms + blocked_ms);
}

/* Ms: what a part costs that another server keeps, read again or fetched. */
static double _cw_balance_again_ms(const cw_balance_t* b, const _cw_server_t* s, const cw_choice_t* c) {
    return _CW_REREAD * b->reading.token_ms * c->again + _CW_MOVE * s->spec.move_ms * c->moved;
}

/* Ms: a shared part that the server doesn't keep would be there once more, and at its owners' next time again. Owners
   are the first servers for the part by rendezvous hashing, so all hosts name the same without asking; where these are
   busy the prompt goes elsewhere. */
static double _cw_balance_stray_ms(const _cw_server_t* s, const cw_prefix_t* prefix, uint32_t kept) {
    bool there = kept >= prefix->shared || cw_prefix_owns(prefix, s->spec.id);
    return there ? 0 : _CW_STRAY * s->spec.move_ms * (prefix->shared - kept);
}

/* Ms: the memory would overflow, and something running would be preempted. */
static double _cw_balance_overflow_ms(const _cw_server_t* s, const _cw_sum_t* sum, const cw_work_t* work) {
    double memory = _CW_MEMORY_SHARE * s->spec.memory_tokens;
    return sum->tokens + work->prompt_tokens + work->output_tokens > memory ? _CW_FULL_MS : 0;
}

/* What a generation costs at the server. The backlog is that of all urgencies, since a more urgent prompt delays those
   that it goes before. */
static double _cw_balance_generation_ms(const cw_balance_t* b, const _cw_server_t* s, const _cw_sum_t* sum,
                                        const cw_work_t* work, const cw_prefix_t* prefix, cw_choice_t* c) {
    c->kept = _cw_balance_kept_tokens(b, s, work);
    c->moved = _cw_balance_moved(b, s, prefix, c->kept);
    c->from = c->moved ? prefix->holder : 0;
    c->again = c->moved || prefix->held < c->kept ? 0 : prefix->held - c->kept;
    c->streaming = sum->streaming;
    c->read_ms = b->reading.token_ms * (work->prompt_tokens - c->kept - c->moved) + s->spec.move_ms * c->moved;
    double ms = b->reading.base_ms + sum->backlog_ms + c->read_ms;
    ms += _cw_balance_again_ms(b, s, c);
    ms += _cw_balance_stray_ms(s, prefix, c->kept);
    ms += _cw_balance_overflow_ms(s, sum, work);
    ms += _CW_RUN_MS * sum->running;
    ms += _cw_balance_caused_ms(b, s, sum, work, c->read_ms);
    ms += _cw_balance_suffered_ms(b, s, sum, work);
    return ms + _cw_balance_gather_ms(b, s, sum, work);
}

static cw_choice_t _cw_balance_rate(const cw_balance_t* b, uint32_t at, int64_t now_ms, const cw_work_t* work,
                                    const cw_prefix_t* prefix) {
    const _cw_server_t* s = &b->servers[at];
    _cw_sum_t sum = _cw_balance_sum(b, s, now_ms, cw_urgency_level(work->urgency));
    cw_choice_t c = {
        .server = at, .id = s->spec.id, .wait_ms = sum.wait_ms, .running = sum.running, .age_ms = sum.age_ms};
    bool engine = s->spec.memory_tokens > 0;
    double ms = engine ? _cw_balance_generation_ms(b, s, &sum, work, prefix, &c) : _cw_balance_call_ms(b, s, &sum);
    double cold = now_ms < s->cold_until_ms ? 2 : 1;
    c.cost_ms = ms * cold * _cw_balance_slow(s, now_ms) + _cw_balance_fail_cost(s, now_ms, work);
    c.cost_ms += s->spec.hall == b->desc.hall ? 0 : _CW_HALL_MS;
    c.cost_ms += s->warm ? 0 : _CW_CONNECT_MS;
    c.pace = _cw_balance_pace(b, s);
    c.cost_ms += (double)(cw_mix(b->desc.seed, s->spec.id) & 1023U) / 1024.0;
    return c;
}

bool cw_balance_patient(const cw_balance_t* b, const cw_work_t* work) {
    double from_ms = _CW_PATIENT_FROM * b->short_target_ms;
    return from_ms > 0 && work->target_ms > from_ms;
}

/* Share of an engine's slots up to which the work may be placed there. In a burst, work that can wait would else take
   every slot for seconds, and leave none for work that can't. Targets within _CW_PATIENT_FROM of the shortest are
   alike. */
static double _cw_balance_share(const cw_balance_t* b, const cw_work_t* work) {
    double from_ms = _CW_PATIENT_FROM * b->short_target_ms;
    return 1 - (cw_balance_patient(b, work) ? _CW_PATIENT_SHARE * (1 - from_ms / work->target_ms) : 0);
}

/* Whether the prompt is among the pool's long ones. */
static bool _cw_balance_deep(const cw_balance_t* b, const cw_work_t* work) {
    return work->prompt_tokens > _CW_DEEP_SHARE * b->deep_tokens;
}

/* Ms: the longest backlog that the work is put behind. */
static double _cw_balance_patience(const cw_balance_t* b, const cw_work_t* work) {
    return (_cw_balance_deep(b, work) ? _CW_PATIENCE_DEEP : _CW_PATIENCE_SHORT) * work->target_ms;
}

/* Learned before the choice, so that what is refused counts as well. */
static void _cw_balance_learn_patience(cw_balance_t* b, const cw_work_t* work) {
    double* learned_ms = &b->patience_ms[cw_urgency_level(work->urgency)];
    double patience_ms = _cw_balance_patience(b, work);
    *learned_ms =
        *learned_ms > 0 ? cw_quantile_learn(*learned_ms, patience_ms, _CW_PATIENCE_UP, _CW_PATIENCE_DOWN) : patience_ms;
}

/* Whether more urgent work would be late at the server, whose backlog for the work's own urgency is wait_ms. That
   backlog holds those of more urgent work, so nothing is summed where none of them is less patient. */
static bool _cw_balance_late_for_others(const cw_balance_t* b, const _cw_server_t* s, int64_t now_ms, uint32_t urgency,
                                        double wait_ms) {
    for (uint32_t i = 0; i < urgency; i++) {
        bool possible = b->patience_ms[i] > 0 && wait_ms > b->patience_ms[i];
        if (possible && _cw_balance_sum(b, s, now_ms, i).wait_ms > b->patience_ms[i]) {
            return true;
        }
    }
    return false;
}

/* Whether too much stands before the work at a server where the backlog for its urgency is wait_ms. */
static bool _cw_balance_late(const cw_balance_t* b, const _cw_server_t* s, int64_t now_ms, const cw_work_t* work,
                             double wait_ms) {
    if (!s->spec.memory_tokens) {
        return false;
    }
    if (wait_ms > _cw_balance_patience(b, work)) {
        return true;
    }
    return _cw_balance_deep(b, work) &&
           _cw_balance_late_for_others(b, s, now_ms, cw_urgency_level(work->urgency), wait_ms);
}

/* Whether the server may get a request now as far as it is cold: one daemon sends there, no faster than it bears. */
static bool _cw_balance_bears(const cw_balance_t* b, const _cw_server_t* s, int64_t now_ms) {
    if (now_ms >= s->cold_until_ms || s->spec.cold_per_s <= 0) {
        return true;
    }
    bool mine = !b->desc.is_mine || b->desc.is_mine(b->desc.user_data, s->spec.id);
    return mine && !cw_bucket_wait_ms(&s->cold, now_ms, 1);
}

/* What kinds of work the pool gets. */
static void _cw_balance_learn_work(cw_balance_t* b, const cw_work_t* work, double wait_ms) {
    double before_ms = b->short_target_ms > 0 ? b->short_target_ms : work->target_ms;
    b->short_target_ms = cw_quantile_learn(before_ms, work->target_ms, _CW_SHORT_UP, _CW_SHORT_DOWN);
    b->deep_tokens = cw_quantile_learn(b->deep_tokens, work->prompt_tokens, _CW_DEEP_UP, _CW_DEEP_DOWN);
    if (work->prompt_tokens > b->deep_tokens / 2) {
        b->deep_wait_ms += _CW_DEEP_WAIT * (wait_ms - b->deep_wait_ms);
    }
}

static bool _cw_balance_tried(const uint64_t* tried, uint32_t count, uint64_t id) {
    for (uint32_t i = 0; i < count; i++) {
        if (tried[i] == id) {
            return true;
        }
    }
    return false;
}

static void _cw_balance_share_rate(const cw_balance_t* b, _cw_server_t* s, int64_t now_ms) {
    cw_rate_set_hosts(&s->rate, now_ms,
                      &(cw_rate_hosts_t){.server = s->spec.id,
                                         .own = b->desc.seed,
                                         .ids = b->fleet.ids,
                                         .count = b->fleet.count,
                                         .missing = b->fleet.missing});
}

void cw_balance_set_fleet(cw_balance_t* b, int64_t now_ms, const cw_fleet_t* fleet) {
    b->fleet = *fleet;
    b->fleet_changes++;
    for (uint32_t i = 0; i < b->places; i++) {
        _cw_balance_share_rate(b, &b->servers[i], now_ms);
    }
}

/* Judged when it is asked, which is for busy servers only: each judgement hashes all hosts. */
static bool _cw_balance_is_home(const cw_balance_t* b, _cw_server_t* s) {
    if (s->home_changes != b->fleet_changes) {
        s->home_changes = b->fleet_changes;
        s->home = cw_home_is(s->spec.id, b->desc.seed, b->fleet.ids, b->fleet.count);
    }
    return s->home;
}

bool cw_balance_limit(cw_balance_t* b, int64_t now_ms, uint64_t id, int64_t sent_ms, double per_s) {
    uint32_t at = cw_balance_find(b, id);
    if (at == CW_BALANCE_NONE) {
        return false;
    }
    _cw_server_t* s = &b->servers[at];
    bool changed =
        per_s < 0 ? cw_rate_lifted(&s->rate, sent_ms, now_ms) : cw_rate_named(&s->rate, sent_ms, now_ms, per_s);
    if (changed) {
        _cw_balance_share_rate(b, s, now_ms);
    }
    return changed;
}

void cw_balance_rest(cw_balance_t* b, int64_t now_ms, uint64_t id, uint32_t ms) {
    uint32_t at = cw_balance_find(b, id);
    if (at != CW_BALANCE_NONE) {
        cw_rest_ask(&b->servers[at].rest, now_ms, ms);
    }
}

bool cw_balance_rests(const cw_balance_t* b, int64_t now_ms, uint64_t id) {
    uint32_t at = cw_balance_find(b, id);
    return at != CW_BALANCE_NONE && now_ms < b->servers[at].rest.until_ms;
}

double cw_balance_limit_per_s(const cw_balance_t* b, int64_t now_ms, uint64_t id) {
    uint32_t at = cw_balance_find(b, id);
    bool holds = at != CW_BALANCE_NONE && cw_rate_holds(&b->servers[at].rate, now_ms);
    return holds ? b->servers[at].rate.word.per_s : -1;
}

cw_held_back_t cw_balance_held_back(const cw_balance_t* b, int64_t now_ms) {
    cw_held_back_t held = {0};
    for (uint32_t i = 0; i < b->places; i++) {
        const _cw_server_t* s = &b->servers[i];
        bool limited = s->used && s->listed && cw_rate_holds(&s->rate, now_ms);
        held.resting += s->used && s->listed && now_ms < s->rest.until_ms;
        held.limited += limited;
        held.owned += limited && s->rate.mine;
    }
    return held;
}

bool cw_balance_tells_limit(const cw_balance_t* b, int64_t now_ms, uint64_t id) {
    uint32_t at = cw_balance_find(b, id);
    return at != CW_BALANCE_NONE && cw_rate_tell(&b->servers[at].rate, now_ms).said != CW_RATE_UNKNOWN;
}

void cw_balance_asked(cw_balance_t* b, int64_t now_ms, const cw_work_t* work) {
    cw_contention_asked(&b->contention, now_ms, work->urgency);
    cw_holding_asked(&b->holding, work->urgency, work->prompt_tokens);
}

void cw_balance_waiting(cw_balance_t* b, int64_t now_ms, uint32_t urgency, uint32_t count) {
    cw_contention_waiting(&b->contention, now_ms, urgency, count);
}

/* -- who may use an engine ------------------------------------------------ */

/* All hosts', taking the others to be as busy as this one. */
static double _cw_balance_of_fleet(const cw_balance_t* b, double own) {
    return own * (b->fleet.count ? b->fleet.count : 1);
}

bool cw_balance_light(const cw_balance_t* b, int64_t now_ms, const cw_work_t* work) {
    double slots = 0;
    for (uint32_t i = 0; i < b->places; i++) {
        const _cw_server_t* s = &b->servers[i];
        slots += _cw_balance_takes_all(s, now_ms) ? s->spec.slots : 0;
    }
    double rate = cw_contention_rate(&b->contention, now_ms, work->urgency);
    double needs = _cw_balance_of_fleet(b, cw_holding_places(&b->holding, work->urgency, rate));
    return needs < _CW_LIGHT_SHARE * slots && cw_holding_short_prompts(&b->holding, work->urgency);
}

/* Places that work which goes before this one will take until this one gives its own back. Long prompts hold theirs for
   seconds: begun as a burst of more urgent work sets in, they are what that lacks when all is full. A late request
   leaves places to all that are in time, its own urgency too. */
static double _cw_balance_reserved(const cw_balance_t* b, int64_t now_ms, const cw_work_t* work) {
    uint32_t before = work->late ? CW_URGENCIES : work->urgency;
    double held_ms = cw_holding_ms(&b->holding, work->urgency);
    double more = 0;
    for (uint32_t i = 0; i < before && i < CW_URGENCIES && !work->light; i++) {
        double rate = cw_contention_rate(&b->contention, now_ms, i);
        more += cw_holding_growth(&b->holding, i, rate, held_ms);
    }
    return _cw_balance_of_fleet(b, more);
}

/* Whether this host may place the work at an engine of which so much is free: where little is, only its home hosts
   may, and they take turns. */
static bool _cw_balance_open(const cw_balance_t* b, _cw_server_t* s, int64_t now_ms, const cw_work_t* work,
                             double free_places) {
    bool large = b->fleet.count > CW_HOME_FLEET;
    bool last_places = large && free_places <= _CW_HOME_FREE * s->spec.slots;
    if (free_places <= 0 || (last_places && !_cw_balance_is_home(b, s))) {
        return false;
    }
    cw_contention_use_t use = {.server = s->spec.id,
                               .free_places = free_places,
                               .urgency = cw_work_turn_urgency(work),
                               .hosts = last_places ? CW_HOME_HOSTS : b->fleet.count,
                               .delay_ms = last_places ? b->fleet.direct_ms : b->fleet.reach_ms};
    return cw_contention_open(&b->contention, now_ms, &use);
}

/* -- choice --------------------------------------------------------------- */

/* Whether the server is suspected and it is not this host's turn to try it. */
static bool _cw_balance_suspects(const cw_balance_t* b, const _cw_server_t* s, int64_t now_ms) {
    return cw_suspect_holds(&s->life, now_ms) &&
           !cw_suspect_may_try(&s->life, now_ms, b->desc.seed, s->spec.id, b->fleet.count);
}

/* Whether suspected servers are left alone: not where they are too many to be wrong all at once. */
static bool _cw_balance_avoids(const cw_balance_t* b, int64_t now_ms) {
    uint32_t suspected = 0;
    for (uint32_t i = 0; i < b->places; i++) {
        const _cw_server_t* s = &b->servers[i];
        suspected += s->used && s->listed && cw_suspect_holds(&s->life, now_ms);
    }
    return suspected <= _CW_SUSPECT_SHARE * b->listed;
}

/* Ms until a server that holds callers back takes a request from this host: 0 now, CW_RATE_NEVER where that isn't
 * known. */
static uint32_t _cw_balance_held_back_ms(const _cw_server_t* s, int64_t now_ms) {
    uint32_t rest_ms = cw_rest_wait_ms(&s->rest, now_ms);
    uint32_t rate_ms = cw_rate_wait_ms(&s->rate, now_ms);
    return rest_ms > rate_ms ? rest_ms : rate_ms;
}

uint32_t cw_balance_opens_in_ms(const cw_balance_t* b, int64_t now_ms) {
    uint32_t soonest_ms = CW_RATE_NEVER;
    for (uint32_t i = 0; i < b->places; i++) {
        const _cw_server_t* s = &b->servers[i];
        uint32_t ms = s->used && s->listed ? _cw_balance_held_back_ms(s, now_ms) : CW_RATE_NEVER;
        soonest_ms = ms < soonest_ms ? ms : soonest_ms;
    }
    return soonest_ms == CW_RATE_NEVER ? 0 : soonest_ms;
}

/* The count of left that a server belongs to which the work can't use, NULL: it may go there as far as can be told
   before its load is summed. */
static uint32_t* _cw_balance_left_out(const cw_balance_t* b, const _cw_server_t* s, int64_t now_ms, bool avoid,
                                      cw_left_out_t* left) {
    if (s->away || now_ms < s->full_until_ms) {
        return &left->away;
    }
    if (!_cw_balance_bears(b, s, now_ms)) {
        return &left->cold;
    }
    if (cw_rest_wait_ms(&s->rest, now_ms)) {
        return &left->resting;
    }
    if (cw_rate_wait_ms(&s->rate, now_ms)) {
        return &left->limited;
    }
    return avoid && _cw_balance_suspects(b, s, now_ms) ? &left->suspected : NULL;
}

/* Whether a choice goes before another one. */
static bool _cw_balance_better(const cw_work_t* work, const cw_choice_t* c, const cw_choice_t* best) {
    if (best->server == CW_BALANCE_NONE) {
        return true;
    }
    if (work->spread) {
        return cw_mix(work->spread, c->id) > cw_mix(work->spread, best->id);
    }
    return c->late != best->late ? best->late : c->cost_ms < best->cost_ms;
}

cw_choice_t cw_balance_choose(cw_balance_t* b, int64_t now_ms, const cw_work_t* work, const uint64_t* tried,
                              uint32_t tried_count) {
    cw_choice_t best = {.server = CW_BALANCE_NONE};
    cw_left_out_t left = {0};
    uint32_t candidates = 0;
    double free_places = 0; /* at all engines that this work could use */
    cw_prefix_t prefix = _cw_balance_prefix(b, now_ms, work);
    bool avoid = _cw_balance_avoids(b, now_ms);
    double share = _cw_balance_share(b, work);
    _cw_balance_learn_patience(b, work);
    for (uint32_t i = 0; i < b->places; i++) {
        _cw_server_t* s = &b->servers[i];
        if (!s->used || !s->listed) {
            continue;
        }
        uint32_t* out = _cw_balance_tried(tried, tried_count, s->spec.id)
                            ? &left.tried
                            : _cw_balance_left_out(b, s, now_ms, avoid, &left);
        if (out) {
            ++*out;
            continue;
        }
        cw_choice_t c = _cw_balance_rate(b, i, now_ms, work, &prefix);
        free_places += (double)s->spec.slots - c.running;
        if (s->spec.memory_tokens && !_cw_balance_open(b, s, now_ms, work, share * s->spec.slots - c.running)) {
            left.no_place++;
            continue;
        }
        candidates++;
        c.late = _cw_balance_late(b, s, now_ms, work, c.wait_ms);
        if (_cw_balance_better(work, &c, &best)) {
            best = c;
        }
    }
    bool engine = best.server != CW_BALANCE_NONE && b->servers[best.server].spec.memory_tokens;
    double reserved = engine ? _cw_balance_reserved(b, now_ms, work) : 0;
    if (engine && free_places - reserved < 1) {
        best = (cw_choice_t){.server = CW_BALANCE_NONE};
        left.no_place += candidates;
        candidates = 0;
    }
    best.reserved = reserved;
    best.candidates = candidates;
    best.left_out = left;
    return best;
}

/* -- runs ----------------------------------------------------------------- */

cw_run_t cw_balance_begin(cw_balance_t* b, int64_t now_ms, uint32_t server, const cw_work_t* work) {
    assert(server < b->places && b->servers[server].used);
    _cw_server_t* s = &b->servers[server];
    cw_run_t run = {.server = server,
                    .id = s->spec.id,
                    .begun_ms = now_ms,
                    .gap_ms = work->gap_ms,
                    .urgency = cw_urgency_level(work->urgency)};
    _cw_sum_t sum = _cw_balance_sum(b, s, now_ms, run.urgency);
    run.found_ms = sum.backlog_ms;
    run.quiet = sum.backlog_ms < 1.0 && sum.running < _CW_QUIET_SHARE * s->spec.slots && now_ms >= s->cold_until_ms;
    if (s->spec.memory_tokens) {
        cw_prefix_t prefix = _cw_balance_prefix(b, now_ms, work);
        uint32_t kept = _cw_balance_kept_tokens(b, s, work);
        uint32_t moved = _cw_balance_moved(b, s, &prefix, kept);
        run.quiet = run.quiet && !moved;
        run.fresh_tokens = work->prompt_tokens - kept - moved;
        run.read_ms = b->reading.token_ms * run.fresh_tokens * _cw_balance_slow(s, now_ms) + s->spec.move_ms * moved;
        run.tokens = work->prompt_tokens + work->output_tokens;
        run.plan = cw_backlog_add(&s->backlog, now_ms, run.urgency, run.read_ms);
        s->deepest = work->prompt_tokens > s->deepest ? work->prompt_tokens : s->deepest;
        _cw_balance_learn_work(b, work, run.found_ms);
        for (uint32_t i = 0; i < work->part_count; i++) {
            _cw_balance_keep(b, s, &work->parts[i]);
        }
    }
    s->running++;
    cw_holding_begin(&b->holding, run.urgency);
    s->tokens += run.tokens;
    cw_bucket_take(&s->cold, now_ms, 1); /* without effect while it is not cold */
    cw_rate_take(&s->rate, now_ms);
    cw_rest_take(&s->rest, now_ms);
    return run;
}

static _cw_server_t* _cw_balance_of_run(const cw_balance_t* b, const cw_run_t* run) {
    if (run->server == CW_BALANCE_NONE) {
        return NULL;
    }
    _cw_server_t* s = &b->servers[run->server];
    return s->used && s->spec.id == run->id ? s : NULL;
}

/* The prompt is read, or never will be: the rest of the backlog moves. */
static void _cw_balance_answered(_cw_server_t* s, int64_t now_ms, cw_run_t* run) {
    run->answered = true;
    if (s->spec.memory_tokens) {
        cw_backlog_done(&s->backlog, now_ms, &run->plan);
    }
    s->deepest = s->backlog.unread[CW_URGENCIES - 1] ? s->deepest : 0;
}

static void _cw_balance_learn_slow(_cw_server_t* s, int64_t now_ms, double ratio) {
    ratio = ratio > _CW_SPEED_MAX ? _CW_SPEED_MAX : ratio;
    s->slow = _cw_balance_slow(s, now_ms);
    s->slow += _CW_SPEED_LEARN * (ratio - s->slow);
    s->slow = s->slow < 0.25 ? 0.25 : s->slow;
    s->slow_ms = now_ms;
}

/* What the first event of a prompt says of reading in the pool, and of the server against the others. */
static void _cw_balance_learn_read(cw_balance_t* b, _cw_server_t* s, int64_t now_ms, const cw_run_t* run) {
    double took_ms = (double)(now_ms - run->begun_ms);
    /* What others' prompts may have taken is no slowness of the server. */
    double alone_ms = took_ms - run->found_ms;
    double expected_ms = cw_reading_ms(&b->reading, run->fresh_tokens);
    if (run->fresh_tokens) {
        cw_reading_learn(&b->reading, run->fresh_tokens, took_ms, run->quiet);
    }
    if (alone_ms > 0 && expected_ms > 0) {
        _cw_balance_learn_slow(s, now_ms, alone_ms / (expected_ms > 20 ? expected_ms : 20));
    }
}

/* The server answers a request that was sent then; true when it was suspected. */
static bool _cw_balance_lives(_cw_server_t* s, int64_t sent_ms) {
    s->own_alive_ms = sent_ms > s->own_alive_ms ? sent_ms : s->own_alive_ms;
    s->own_failed_ms = sent_ms >= s->own_failed_ms ? 0 : s->own_failed_ms;
    return cw_suspect_alive(&s->life, sent_ms);
}

bool cw_balance_first(cw_balance_t* b, int64_t now_ms, cw_run_t* run) {
    _cw_server_t* s = _cw_balance_of_run(b, run);
    if (!s || run->answered) {
        return false;
    }
    if (s->spec.memory_tokens) {
        _cw_balance_learn_read(b, s, now_ms, run);
    }
    _cw_balance_answered(s, now_ms, run);
    if (run->gap_ms) {
        cw_gaps_count(&s->gaps, run->gap_ms, 1);
    }
    run->event_ms = now_ms;
    run->beside = _cw_balance_sum(b, s, now_ms, run->urgency).deepest;
    return _cw_balance_lives(s, run->begun_ms);
}

void cw_balance_event(cw_balance_t* b, int64_t now_ms, cw_run_t* run) {
    _cw_server_t* s = _cw_balance_of_run(b, run);
    if (!s || !run->answered || !s->spec.memory_tokens) {
        return;
    }
    _cw_sum_t sum = _cw_balance_sum(b, s, now_ms, run->urgency);
    uint32_t deepest = sum.deepest > run->beside ? sum.deepest : run->beside;
    double pause_ms = (double)(now_ms - run->event_ms);
    if (deepest) {
        cw_pauses_learn(&b->pauses, deepest, pause_ms / _cw_balance_pace(b, s));
    } else if (sum.running <= _CW_PACE_RUNS) {
        _cw_balance_learn_pace(b, s, pause_ms);
    }
    run->event_ms = now_ms;
    run->beside = sum.deepest;
}

static void _cw_balance_learn_fail(_cw_server_t* s, int64_t now_ms, double outcome) {
    s->fail = _cw_balance_fail(s, now_ms);
    s->fail += _CW_FAIL_LEARN * (outcome - s->fail);
    s->fail_ms = now_ms;
}

static void _cw_balance_learn_call(cw_balance_t* b, _cw_server_t* s, int64_t now_ms, const cw_run_t* run) {
    double took_ms = (double)(now_ms - run->begun_ms);
    double weight = b->service_samples < 20 ? 1.0 / (b->service_samples + 1) : 0.02;
    b->service_ms += weight * (took_ms - b->service_ms);
    b->service_samples++;
    _cw_balance_learn_slow(s, now_ms, took_ms / (b->service_ms > 1 ? b->service_ms : 1));
}

static void _cw_balance_fails(const cw_balance_t* b, _cw_server_t* s, int64_t now_ms) {
    s->own_failed_ms = now_ms;
    cw_suspect_failed_here(&s->life, b->desc.seed, now_ms);
}

void cw_balance_end(cw_balance_t* b, int64_t now_ms, cw_run_t* run, cw_try_result_t result) {
    _cw_server_t* s = _cw_balance_of_run(b, run);
    if (run->server != CW_BALANCE_NONE) {
        cw_holding_end(&b->holding, run->urgency);
    }
    run->server = CW_BALANCE_NONE;
    if (!s) {
        return;
    }
    if (run->answered && run->gap_ms) {
        cw_gaps_count(&s->gaps, run->gap_ms, -1);
    }
    if (!run->answered) {
        _cw_balance_answered(s, now_ms, run);
    }
    s->running -= s->running > 0;
    s->tokens -= run->tokens < s->tokens ? run->tokens : s->tokens;
    switch (result) {
        case CW_TRY_SERVED:
            cw_holding_learn(&b->holding, run->urgency, (double)(now_ms - run->begun_ms));
            _cw_balance_learn_fail(s, now_ms, 0);
            if (!s->spec.memory_tokens) {
                _cw_balance_learn_call(b, s, now_ms, run);
            }
            break;
        case CW_TRY_FAILED:
            _cw_balance_learn_fail(s, now_ms, 1);
            break;
        case CW_TRY_BROKEN:
            _cw_balance_learn_fail(s, now_ms, 1);
            _cw_balance_fails(b, s, now_ms);
            break;
        case CW_TRY_UNREACHABLE:
            _cw_balance_fails(b, s, now_ms);
            cw_balance_away(b, now_ms, run->id, true);
            break;
        case CW_TRY_FULL:
            s->full_until_ms = now_ms + _CW_FULL_PAUSE_MS;
            break;
        case CW_TRY_CANCELLED:
            break;
    }
}

void cw_balance_warm(cw_balance_t* b, uint64_t id, bool warm) {
    uint32_t at = cw_balance_find(b, id);
    if (at != CW_BALANCE_NONE) {
        b->servers[at].warm = warm;
    }
}

void cw_balance_away(cw_balance_t* b, int64_t now_ms, uint64_t id, bool away) {
    uint32_t at = cw_balance_find(b, id);
    if (at == CW_BALANCE_NONE) {
        return;
    }
    _cw_server_t* s = &b->servers[at];
    if (!away) {
        s->away_ms = 0;
    } else if (!s->away) {
        s->away_ms = b->desc.away_ms;
        s->away_until_ms = now_ms + s->away_ms;
    }
    b->away += away - s->away;
    s->away = away;
}

bool cw_balance_suspected(const cw_balance_t* b, int64_t now_ms, uint64_t id) {
    uint32_t at = cw_balance_find(b, id);
    return at != CW_BALANCE_NONE && cw_suspect_holds(&b->servers[at].life, now_ms);
}

uint64_t cw_balance_probe(cw_balance_t* b, int64_t now_ms) {
    for (uint32_t i = 0; i < b->places && b->away; i++) {
        _cw_server_t* s = &b->servers[i];
        if (!s->used || !s->listed || !s->away || now_ms < s->away_until_ms || _cw_balance_held_back_ms(s, now_ms)) {
            continue;
        }
        s->away_ms = s->away_ms * 2 > b->desc.away_max_ms ? b->desc.away_max_ms : s->away_ms * 2;
        s->away_until_ms = now_ms + s->away_ms;
        cw_rate_take(&s->rate, now_ms); /* a health check takes from what the server bears, too */
        return s->spec.id;
    }
    return 0;
}

/* -- news ----------------------------------------------------------------- */

static void _cw_balance_tell_rate(const cw_rate_t* rate, int64_t now_ms, cw_load_t* load) {
    cw_rate_word_t word = cw_rate_tell(rate, now_ms);
    if (word.said != CW_RATE_UNKNOWN) {
        load->rate = word.said;
        load->rate_per_ks = (uint32_t)(word.per_s * 1000);
        load->rate_ago_ms = (uint32_t)(now_ms - word.at_ms);
    }
}

cw_load_t cw_balance_load(const cw_balance_t* b, int64_t now_ms, uint32_t server) {
    const _cw_server_t* s = &b->servers[server];
    cw_gap_t gap = cw_gaps_shortest(&s->gaps);
    cw_load_t load = {.running = s->running,
                      .gap_ms = gap.gap_ms,
                      .streaming = gap.count,
                      .tokens = s->tokens > UINT32_MAX ? UINT32_MAX : (uint32_t)s->tokens,
                      .pace_us = s->pace_samples > _CW_PACE_FEW ? (uint32_t)(s->pace_ms * 1000.0) : 0,
                      .failed_ago_ms = cw_suspect_age(s->own_failed_ms, now_ms),
                      .alive_ago_ms = s->life.failures ? cw_suspect_age(s->own_alive_ms, now_ms) : 0};
    _cw_balance_tell_rate(&s->rate, now_ms, &load);
    for (uint32_t urgency = 0; urgency < CW_URGENCIES; urgency++) {
        load.backlog_ms[urgency] = (uint32_t)_cw_balance_own_backlog(s, now_ms, urgency);
    }
    load.deepest = load.backlog_ms[CW_URGENCIES - 1] ? s->deepest : 0;
    return load;
}

/* Drops news that is too old to count and all of the peer's, which is about to be told anew. */
static void _cw_balance_drop_news(const cw_balance_t* b, _cw_server_t* s, int64_t now_ms, uint64_t peer) {
    for (uint32_t i = 0; i < s->news_count;) {
        if (s->news[i].peer == peer || now_ms - s->news[i].at_ms > b->desc.news_ms) {
            s->news[i] = s->news[--s->news_count];
        } else {
            i++;
        }
    }
}

/* For one more piece of news. */
static void _cw_balance_make_room(const cw_balance_t* b, _cw_server_t* s) {
    if (s->news_count < s->news_room) {
        return;
    }
    uint32_t room = s->news_room ? 2 * s->news_room : _CW_NEWS_ROOM;
    _cw_news_t* news = cw_alloc(&b->desc.allocator, room, sizeof(*news));
    if (s->news) {
        memcpy(news, s->news, s->news_count * sizeof(*news));
        cw_free(&b->desc.allocator, s->news);
    }
    s->news = news;
    s->news_room = room;
}

static bool _cw_balance_has_load(const cw_load_t* load) {
    return load->running || load->streaming || load->tokens || load->backlog_ms[CW_URGENCIES - 1];
}

/* What another daemon saw of the server's life. Its news may have been under way for as long as news takes. */
static void _cw_balance_hear_life(const cw_balance_t* b, _cw_server_t* s, int64_t now_ms, uint64_t peer,
                                  const cw_load_t* load) {
    if (load->failed_ago_ms && load->failed_ago_ms < _CW_NEWS_OLD_MS) {
        cw_suspect_failed(&s->life, peer, now_ms - load->failed_ago_ms);
    }
    if (load->alive_ago_ms && load->alive_ago_ms < _CW_NEWS_OLD_MS) {
        cw_suspect_alive(&s->life, now_ms - load->alive_ago_ms - b->fleet.reach_ms);
    }
}

static void _cw_balance_hear_rate(const cw_balance_t* b, _cw_server_t* s, int64_t now_ms, const cw_load_t* load) {
    cw_rate_word_t word = {
        .said = load->rate, .per_s = load->rate_per_ks / 1000.0, .at_ms = now_ms - load->rate_ago_ms};
    if (cw_rate_heard(&s->rate, &word, b->fleet.reach_ms)) {
        _cw_balance_share_rate(b, s, now_ms);
    }
}

void cw_balance_news(cw_balance_t* b, int64_t now_ms, uint64_t peer, uint64_t server, const cw_load_t* load) {
    uint32_t at = cw_balance_find(b, server);
    if (at == CW_BALANCE_NONE) {
        return;
    }
    _cw_server_t* s = &b->servers[at];
    _cw_balance_hear_pace(b, s, load->pace_us);
    _cw_balance_hear_life(b, s, now_ms, peer, load);
    _cw_balance_hear_rate(b, s, now_ms, load);
    _cw_balance_drop_news(b, s, now_ms, peer);
    if (_cw_balance_has_load(load) && s->news_count < b->desc.max_peers) {
        _cw_balance_make_room(b, s);
        s->news[s->news_count++] = (_cw_news_t){.peer = peer, .at_ms = now_ms, .load = *load};
    }
}

double cw_balance_fullness(const cw_balance_t* b, int64_t now_ms) {
    double slots = 0;
    double running = 0;
    for (uint32_t i = 0; i < b->places; i++) {
        const _cw_server_t* s = &b->servers[i];
        if (_cw_balance_takes_all(s, now_ms)) {
            slots += s->spec.slots;
            running += _cw_balance_sum(b, s, now_ms, 0).running;
        }
    }
    return slots > 0 ? running / slots : 1;
}

const cw_holding_t* cw_balance_holding(const cw_balance_t* b) {
    return &b->holding;
}

double cw_balance_shortest_target(const cw_balance_t* b) {
    return b->short_target_ms;
}

double cw_balance_read_rate(const cw_balance_t* b) {
    return b->reading.token_ms;
}

#endif /* CHALKWAY_BALANCE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
