#!/usr/bin/env perl
# Checks the includes of src against the map in docs/DESIGN.md: each folder names those that it may
# include beside itself, and comes after all of them.
use strict;
use warnings;
my %may = (platform => {}); # Beside src; its own includes are the business of check_names.
my @order;
open my $map, '<', 'docs/DESIGN.md' or die "docs/DESIGN.md: $!";
while (my $line = <$map>) {
  next if $line !~ /^\| `src\/(\w+)` \|[^|]*\| ([^|]*) \|$/;
  my ($folder, $list) = ($1, $2);
  my @names = $list eq '-' ? () : split /, /, $list;
  for my $name (@names) {
    die "docs/DESIGN.md: $folder may include $name, which doesn't come before it\n" if !exists $may{$name};
  }
  $may{$folder} = { map { $_ => 1 } @names, $folder };
  push @order, $folder;
}
die "no map found in docs/DESIGN.md\n" if @order < 10;
my $found = 0;
for my $path (split /\n/, `git ls-files --cached --others --exclude-standard 'src/*.h' 'src/*.cpp'`) {
  next if !-e $path;
  my ($folder) = $path =~ m{^src/(\w+)/} or next;
  if (!exists $may{$folder}) {
    print "$path: the map in docs/DESIGN.md has no folder $folder\n";
    $found = 1;
    next;
  }
  open my $file, '<', $path or die "$path: $!";
  while (my $line = <$file>) {
    next if $line !~ /^#include "(\w+)\//;
    next if $may{$folder}{$1};
    print "$path:$.: $folder may not include $1\n";
    $found = 1;
  }
}
print "rooms: ", scalar(@order), " folders include as docs/DESIGN.md says\n" if !$found;
exit $found;
