#!/usr/bin/env perl
# Reports names of the users' platform outside platform/, deploy/, its stand-in, its tests and the
# soak, which is a caller: the quoted names of platform/names.h, and those of its decoders that have a hyphen.
use strict;
use warnings;
my %names;
sub literals {
  my ($path) = @_;
  open my $file, '<', $path or die "$path: $!";
  local $/;
  my $text = <$file>;
  $text =~ s{//[^\n]*}{}g;
  $text =~ s{#include[^\n]*}{}g;
  return $text =~ /"([^"\\\n]+)"/g;
}
$names{$_} = 1 for literals('platform/names.h');
$names{$_} = 1 for grep { /^[a-z_]+(-[a-z]+)+(\[0\])?$/ || /^[a-z]+\.[a-z_-]+-/ } map { literals($_) } 'platform/codec.cpp', 'platform/runner_entry.cpp';
my @standard = ('Retry-After', 'config'); # A name of HTTP, and an ordinary word of our logs.
delete @names{@standard};
die "no names found\n" if keys %names < 30;
my $found = 0;
for my $path (split /\n/, `git ls-files 'src/*' 'bench/*' 'standins/*' 'tests/*' 'examples/*'`) {
  next if $path =~ m{^(standins/fleet|tests/platform|tests/golden)/};
  open my $file, '<', $path or next;
  while (my $line = <$file>) {
    for my $name (keys %names) {
      next if index($line, "\"$name\"") < 0;
      print "$path:$.: \"$name\" is a name of the platform\n";
      $found = 1;
    }
  }
}
print "names: ", scalar(keys %names), " names of the platform stand in platform/ only\n" if !$found;
exit $found;
